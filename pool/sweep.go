package pool

import (
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/store"
)

const (
	// sweepInterval is the time between two deletions of old rows.
	sweepInterval = time.Second
	// maxSweepRows is the maximum number of rows in a transaction that deletes old rows: each has two checks and a
	// write at most, of which the store takes 100.
	maxSweepRows = 30
)

// sweep is a set of transactions that delete rows, one for each part. Each row is deleted on the condition that it was not
// written again. The holder's batches are no place for that, as a condition that fails would hold up their other rows.
type sweep struct {
	byPart map[string]*store.Txn
}

// add adds the deletion of a row that has a version, under further conditions in its part. It leaves the row for a later
// sweep if there are enough rows of the part.
func (s *sweep) add(key store.Key, version uint64, further ...store.Check) {
	if s.byPart == nil {
		s.byPart = map[string]*store.Txn{}
	}
	txn, known := s.byPart[key.Part]
	if !known {
		txn = &store.Txn{}
		s.byPart[key.Part] = txn
	}
	if len(txn.Writes) == maxSweepRows {
		return
	}
	txn.Checks = append(append(txn.Checks, store.Check{Key: key, Version: version}), further...)
	txn.Writes = append(txn.Writes, store.Write{Key: key, Delete: true})
}

func (s *sweep) txns() []store.Txn {
	var list []store.Txn
	for _, txn := range s.byPart {
		list = append(list, *txn)
	}
	return list
}

// TakeSweep returns the transactions that delete the rows of withdrawals that are too old, one for each part at most. A
// row that was written again, or whose job exists, is left.
func (c *Core) TakeSweep(now time.Time) []store.Txn {
	w := &c.withdrawals
	if len(w.byKey) == 0 || now.Sub(w.sweptAt) < sweepInterval {
		return nil
	}
	w.sweptAt = now
	s := &sweep{}
	for key, row := range w.byKey {
		if now.Sub(row.at) >= WithdrawalAge {
			s.add(key, row.version, store.Check{Key: row.keys.Job})
		}
	}
	return s.txns()
}

// TakeAgentSweep returns the transactions that delete the rows of agents that were removed, one for each part at most. A
// row that the agent has written again is left. Only a holder with a valid lease knows that an agent is silent.
func (c *Core) TakeAgentSweep(now time.Time) []store.Txn {
	if len(c.removedAgentRows) == 0 || now.Sub(c.agentsSweptAt) < sweepInterval {
		return nil
	}
	c.agentsSweptAt = now
	s := &sweep{}
	for _, rows := range c.removedAgentRows {
		for key, version := range rows {
			s.add(key, version)
		}
	}
	return s.txns()
}

// HandleSweep handles the outcome of a transaction of TakeSweep or TakeAgentSweep: it forgets the rows that were deleted,
// that differ from what the transaction expected, or that have a job. The others are deleted later.
func (c *Core) HandleSweep(txn store.Txn, err error) {
	for _, write := range txn.Writes {
		expected := txn.Checks[slices.IndexFunc(txn.Checks, func(check store.Check) bool { return check.Key == write.Key })].Version
		found, conflict := store.ConflictRow(err, write.Key)
		gone := err == nil || conflict && found.Version != expected
		if agent, ok := strings.CutPrefix(write.Key.Name, agentPrefix); ok {
			if gone && c.removedAgentRows[agent][write.Key] == expected {
				c.forgetRemovedRow(agent, write.Key)
			}
			continue
		}
		c.handleWithdrawalSweep(write.Key, expected, gone, err)
	}
}

func (c *Core) handleWithdrawalSweep(key store.Key, expected uint64, gone bool, err error) {
	row := c.withdrawals.byKey[key]
	accepted, _ := store.ConflictRow(err, row.keys.Job)
	switch {
	case row.version != expected: // it was written again, and the feed has told so
	case gone:
		delete(c.withdrawals.byKey, key)
	case accepted.Version > 0 && row.legacy():
		// The job is not known yet, and may have been accepted without regard to the cancellation.
		row.at = c.withdrawals.sweptAt
		c.withdrawals.byKey[key] = row
	case accepted.Version > 0:
		delete(c.withdrawals.byKey, key)
	}
}

// forgetRemovedRow forgets the row of a removed agent.
func (c *Core) forgetRemovedRow(agent string, key store.Key) {
	delete(c.removedAgentRows[agent], key)
	if len(c.removedAgentRows[agent]) == 0 {
		delete(c.removedAgentRows, agent)
	}
}
