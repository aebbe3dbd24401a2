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
	// renewEvery is how often a relay renews its row, at most.
	renewEvery = 5 * time.Second
	// lookEvery is how often other gateways look for relays, at most.
	lookEvery = 10 * time.Second
	// firstLook is how soon a gateway looks again after its start; each time after that takes twice as long.
	firstLook = time.Second
	// firstLookRetry and lastLookRetry bound the pauses after a look that failed.
	firstLookRetry = 200 * time.Millisecond
	lastLookRetry  = 5 * time.Second
	// claimPause is how long a gateway with one processor leaves a free slot to stronger ones, on average.
	claimPause = 100 * time.Millisecond
	// leaveTimeout bounds the deletion of a relay's row when it stops.
	leaveTimeout = 500 * time.Millisecond
)

// Run keeps up which gateways are relays, makes this one a relay when one is wanted, and tries the store again
// while it turns this gateway away, until ctx is done.
func (s *Store) Run(ctx context.Context, self Self) {
	go s.probe(ctx)
	defer s.leave(self)
	pause := backoff.New(firstLookRetry, lastLookRetry)
	longest := firstLook
	for ctx.Err() == nil {
		next, err := s.keepUp(ctx, self)
		if err != nil {
			if ctx.Err() == nil {
				s.logger.Warn().Err(err).Msg("relay: the relays' rows could not be read or renewed")
			}
			pause.WaitAtLeast(ctx, store.RetryAfter(err))
			continue
		}
		pause.Reset()
		backoff.Sleep(ctx, min(next, backoff.Vary(longest)))
		longest = min(2*longest, lookEvery)
	}
}

// keepUp reads which gateways are relays, and renews or takes a slot for this one. It returns how long to wait
// until the next time.
func (s *Store) keepUp(ctx context.Context, self Self) (time.Duration, error) {
	table, err := s.readTable(ctx, self)
	if err != nil {
		return 0, err
	}
	if number, ok := table.slotOf(self.Name); ok {
		return backoff.Vary(renewEvery), s.write(ctx, self, table, number)
	}
	s.feed.setRelay(false)
	if len(table.claimable(self)) == 0 {
		return backoff.Vary(lookEvery), nil
	}
	return s.claim(ctx, self)
}

// claim takes a slot, unless stronger gateways have taken all meanwhile.
func (s *Store) claim(ctx context.Context, self Self) (time.Duration, error) {
	mean := time.Duration(float64(claimPause) / max(self.Power, 1.0/thousandths))
	backoff.Sleep(ctx, min(rand.N(2*mean), lastLookRetry))
	table, err := s.readDirect(ctx, self)
	if err != nil {
		return 0, err
	}
	free := table.claimable(self)
	if len(free) == 0 {
		return backoff.Vary(lookEvery), nil
	}
	err = s.write(ctx, self, table, free[rand.N(len(free))])
	if store.KindOf(err) == store.KindConflict {
		return rand.N(2 * mean), nil
	}
	return backoff.Vary(renewEvery), err
}

// write writes this gateway's row into a slot, if the slot is as it was read.
func (s *Store) write(ctx context.Context, self Self, table slotTable, number int) error {
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

// readTable reads the rows of the slots: from a relay if one serves this gateway, else from the store.
func (s *Store) readTable(ctx context.Context, self Self) (slotTable, error) {
	if page, ok := s.feed.members(ctx); ok {
		return s.takeTable(page, self), nil
	}
	return s.readDirect(ctx, self)
}

func (s *Store) readDirect(ctx context.Context, self Self) (slotTable, error) {
	page, err := s.Read(ctx, slotsRange())
	if err != nil {
		return slotTable{}, err
	}
	return s.takeTable(page, self), nil
}

// takeTable takes over which gateways are relays.
func (s *Store) takeTable(page store.Page, self Self) slotTable {
	table := readSlots(page)
	s.lastTable.Store(&page)
	others := table.others(self.Name)
	if s.peers.set(others) {
		s.logger.Info().Int("known", len(others)).Msg("relay: the relays changed")
	}
	for _, u := range table.unreadable {
		s.bad.Note(s.clock.Now(), malformed.Gateway, u.row.Key.Name, len(u.row.Value), u.err)
	}
	s.feed.setDecided()
	return table
}

// leave frees this gateway's slot, so that another takes it at once.
func (s *Store) leave(self Self) {
	if !s.feed.IsRelay() {
		return
	}
	s.feed.setRelay(false)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	page, err := s.direct.Read(ctx, slotsRange())
	if err != nil {
		s.logger.Warn().Err(err).Msg("relay: the slot could not be freed; its row grows stale")
		return
	}
	table := readSlots(page)
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
		s.logger.Warn().Err(err).Msg("relay: the slot could not be freed; its row grows stale")
	}
}
