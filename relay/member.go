package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/store"
)

const (
	// renewInterval is the maximum time between two renewals of a relay's row.
	renewInterval = 5 * time.Second
	// refreshInterval is the maximum time between two reads of the slots by a gateway that is not a relay.
	refreshInterval = 10 * time.Second
	// firstRefreshInterval is the time between the first two reads after a start. It doubles with each
	// further read, up to refreshInterval.
	firstRefreshInterval = time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed read or renewal.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// claimDelay is the mean time for which a gateway with one CPU waits before it claims a slot. Gateways
	// with more CPUs wait less, so they get the slot first.
	claimDelay = 100 * time.Millisecond
	// releaseTimeout bounds the deletion of a relay's row during shutdown.
	releaseTimeout = 500 * time.Millisecond
)

// Run maintains the list of relays, claims or renews a slot for this gateway, and probes the store while it
// is unavailable, until ctx is done.
func (s *Store) Run(ctx context.Context, self Gateway) {
	go s.probe(ctx)
	defer s.releaseSlot(self)
	retry := backoff.New(minRetryDelay, maxRetryDelay)
	interval := firstRefreshInterval
	for ctx.Err() == nil {
		next, err := s.updateMembership(ctx, self)
		if err != nil {
			if ctx.Err() == nil {
				s.logger.Warn().Err(err).Msg("relay: reading or renewing the slots failed")
			}
			retry.WaitAtLeast(ctx, store.RetryAfter(err))
			continue
		}
		retry.Reset()
		backoff.Sleep(ctx, min(next, backoff.Jitter(interval)))
		interval = min(2*interval, refreshInterval)
	}
}

// updateMembership reads the slots and renews or claims the slot of this gateway. It returns the time until
// the next call.
func (s *Store) updateMembership(ctx context.Context, self Gateway) (time.Duration, error) {
	table, err := s.loadSlots(ctx, self)
	if err != nil {
		return 0, err
	}
	if number, ok := table.slotOf(self.Name); ok {
		return backoff.Jitter(renewInterval), s.writeSlot(ctx, self, table, number)
	}
	s.feed.setRelay(false)
	if len(table.claimable(self)) == 0 {
		return backoff.Jitter(refreshInterval), nil
	}
	return s.claim(ctx, self)
}

// claim takes a slot after a delay, unless other gateways have taken all slots by then.
func (s *Store) claim(ctx context.Context, self Gateway) (time.Duration, error) {
	meanDelay := time.Duration(float64(claimDelay) / max(self.CPUs, 1.0/millisPerCPU))
	backoff.Sleep(ctx, min(rand.N(2*meanDelay), maxRetryDelay))
	table, err := s.loadSlotsFromStore(ctx, self)
	if err != nil {
		return 0, err
	}
	candidates := table.claimable(self)
	if len(candidates) == 0 {
		return backoff.Jitter(refreshInterval), nil
	}
	err = s.writeSlot(ctx, self, table, candidates[rand.N(len(candidates))])
	if store.KindOf(err) == store.KindConflict {
		return rand.N(2 * meanDelay), nil
	}
	return backoff.Jitter(renewInterval), err
}

// writeSlot writes this gateway's row into a slot if the slot has not changed since it was read.
func (s *Store) writeSlot(ctx context.Context, self Gateway, table slotTable, number int) error {
	value, err := self.encode(table.stamp.Clock)
	if err != nil {
		return &store.Error{Op: "announce", Kind: store.KindInvalid, Err: err}
	}
	key := slotKey(number)
	_, err = s.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: key, Version: table.slots[number].version}},
		Writes: []store.Write{{Key: key, Value: value}},
	})
	if err == nil {
		s.feed.setRelay(true)
	}
	return err
}

// loadSlots reads the slots from the relay that serves this gateway, or from the store if there is none.
func (s *Store) loadSlots(ctx context.Context, self Gateway) (slotTable, error) {
	if page, ok := s.feed.fetchMembers(ctx); ok {
		return s.adoptSlots(page, self), nil
	}
	return s.loadSlotsFromStore(ctx, self)
}

func (s *Store) loadSlotsFromStore(ctx context.Context, self Gateway) (slotTable, error) {
	page, err := s.Read(ctx, slotsRange())
	if err != nil {
		return slotTable{}, err
	}
	return s.adoptSlots(page, self), nil
}

// adoptSlots replaces the list of relays with the content of a page and reports the malformed rows.
func (s *Store) adoptSlots(page store.Page, self Gateway) slotTable {
	table := parseSlots(page)
	s.lastSlotPage.Store(&page)
	others := table.liveRelays(self.Name)
	if s.peers.set(others) {
		s.logger.Info().Int("known", len(others)).Msg("relay: list of relays changed")
	}
	for _, u := range table.unreadable {
		s.malformed.Note(s.clock.Now(), malformed.Gateway, u.row.Key.Name, len(u.row.Value), u.err)
	}
	s.feed.setRelaysKnown()
	return table
}

// releaseSlot deletes this gateway's row, so that another gateway can take the slot immediately.
func (s *Store) releaseSlot(self Gateway) {
	if !s.feed.IsRelay() {
		return
	}
	s.feed.setRelay(false)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	page, err := s.direct.Read(ctx, slotsRange())
	if err != nil {
		s.logger.Warn().Err(err).Msg("relay: releasing the slot failed; it stays taken until its row is stale")
		return
	}
	table := parseSlots(page)
	number, ok := table.slotOf(self.Name)
	if !ok {
		return
	}
	key := slotKey(number)
	_, err = s.direct.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: key, Version: table.slots[number].version}},
		Writes: []store.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		s.logger.Warn().Err(err).Msg("relay: releasing the slot failed; it stays taken until its row is stale")
	}
}
