package hall

import (
	"fmt"
	"slices"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

// commit sends a holder's next batch to the store and handles each outcome as FencedWriter does: if the
// answer is lost, the outcome becomes known later.
func (s *sim) commit(h *testHolder) {
	if h.committing {
		return
	}
	batch := h.core.TakeBatch(h.lease.GetCounter() + 1)
	if batch == nil && !h.core.NeedsLongerLease() {
		return
	}
	if batch == nil {
		batch = &Batch{}
	}
	h.agentLease = h.core.LeaseToRecord(s.now)
	h.core.RecordingLease(h.agentLease)
	h.committing = true
	s.send("commit", nil, func() { s.tryCommit(h, batch) }, func() { s.retryCommit(h, batch) })
}

// retryCommit sends a transaction again until its outcome is known.
func (s *sim) retryCommit(h *testHolder, batch *Batch) {
	if h.dead {
		return
	}
	s.send("commit again", h.process, func() {
		h.core.StoreFailed()
		s.tryCommit(h, batch)
	}, func() { s.retryCommit(h, batch) })
}

func (s *sim) tryCommit(h *testHolder, batch *Batch) {
	if s.storeDown {
		s.retryCommit(h, batch)
		return
	}
	next := &wire.HolderLease{Epoch: h.lease.GetEpoch(), Counter: h.lease.GetCounter() + 1, LongestAgentLeaseMs: int32(h.agentLease.Milliseconds())}
	txn := store.Txn{
		Checks: append([]store.Check{{Key: LeaseKey(simHall), Version: h.version}}, batch.Checks...),
		Writes: append([]store.Write{{Key: LeaseKey(simHall), Value: encode(next)}}, batch.Writes...),
	}
	version, found, ok := s.store.Apply(txn)
	var outcome error
	switch failed := failedChecks(txn.Checks, &store.Error{Kind: store.KindConflict, Rows: found}); {
	case slices.Contains(failed, LeaseKey(simHall)):
		h.dead = true
		return
	case !ok:
		outcome = &Error{Op: "commit", Kind: KindConflict, Keys: failed}
	default:
		h.lease, h.version = next, version
		s.recordCommitted(batch)
	}
	s.send("committed", h.process, func() {
		s.settle(h, outcome)
	}, func() {
		s.send("commit settled", h.process, func() {
			s.settle(h, outcome)
		}, nil)
	})
}

// settle applies the outcome of a holder's transaction.
func (s *sim) settle(h *testHolder, outcome error) {
	h.committing = false
	if outcome == nil {
		h.core.LeaseRecorded(h.agentLease)
	}
	h.core.BatchDone(s.now, outcome)
	h.core.StoreRecovered()
	s.sendPending(h)
}

func (s *sim) recordCommitted(batch *Batch) {
	for _, item := range batch.items {
		if item.record.GetState() == wire.JobState_STARTING {
			s.committed[fmt.Sprintf("%s~%d", item.record.GetId(), item.record.GetAttempt())] = true
		}
	}
}
