package pool

import (
	"fmt"
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// Effects of a cancellation on a job.
const (
	// effectUnknown means that it is not known whether the cancellation came before the job was accepted.
	effectUnknown cancelEffect = iota
	// effectNone means that the cancellation came before the job was accepted, and was deleted before.
	effectNone
	// effectEnds means that the cancellation came after the job was accepted, or that the job's row was written without
	// regard to it.
	effectEnds
)

// cancelEffect is the effect of a cancellation on a job.
type cancelEffect int

// CancelJob ends a job if its caller has cancelled it since it was accepted. It records the cancellation if there is no
// job, or if it is not known which of the two came first. A notice is left to the feed in these cases.
func (c *Core) CancelJob(now time.Time, cancellation Cancellation) {
	j, known := c.jobs[cancellation.ID]
	row := withdrawal{keys: cancellation.Keys, version: cancellation.Version, at: cancellation.At}
	if cancellation.Noticed {
		if known && j.acceptedBefore(row) {
			c.endCancelled(now, j, row)
		}
		return
	}
	c.withdrawals.add(row)
	if known {
		c.applyCancellations(now, j)
	}
}

// RemoveCancellation forgets a cancellation whose row was deleted.
func (c *Core) RemoveCancellation(removal CancellationRemoval) {
	if c.withdrawals.byKey[removal.Key].version < removal.Version {
		delete(c.withdrawals.byKey, removal.Key)
	}
}

// RemoveMissingCancellations forgets the cancellations that a read of all rows of the intake table did not find, and
// that are not newer than it.
func (c *Core) RemoveMissingCancellations(read store.Page) {
	found := map[store.Key]bool{}
	for _, row := range read.Rows {
		found[row.Key] = true
	}
	for key, row := range c.withdrawals.byKey {
		if !found[key] && row.version <= read.Stamp.Version {
			delete(c.withdrawals.byKey, key)
		}
	}
}

// applyCancellations ends a job if one of the recorded cancellations does, and forgets those whose effect is known.
func (c *Core) applyCancellations(now time.Time, j *jobState) {
	if j.toRemove {
		return // there may be another job under the identifier, or none
	}
	for key, row := range c.withdrawalsOf(j.job.ID) {
		effect := j.effectOf(row)
		if effect == effectUnknown {
			continue
		}
		delete(c.withdrawals.byKey, key)
		if effect == effectEnds {
			c.endCancelled(now, j, row)
		}
	}
}

// endCancelled ends a job because of a cancellation, unless it has already ended.
func (c *Core) endCancelled(now time.Time, j *jobState, row withdrawal) {
	if !j.state.ended() {
		c.endJob(now, j, Cancelled, fmt.Sprintf("its caller cancelled it as version %d of the store, accepted as %d", row.version, j.acceptedVersion()))
	}
}

// withdrawalsOf returns the recorded cancellations of an identifier by their keys.
func (c *Core) withdrawalsOf(id job.ID) map[store.Key]withdrawal {
	if len(c.withdrawals.byKey) == 0 {
		return nil
	}
	rows := map[store.Key]withdrawal{}
	for _, keys := range []JobKeys{KeysOf(id), LegacyKeysOf(c.name, id)} {
		if row, known := c.withdrawals.byKey[keys.Cancel]; known {
			rows[keys.Cancel] = row
		}
	}
	return rows
}

// effectOf returns the effect of a cancellation on the job.
func (j *jobState) effectOf(row withdrawal) cancelEffect {
	effect := effectNone
	for _, submitted := range j.rows {
		switch submitted.effectOf(row) {
		case effectEnds:
			return effectEnds
		case effectUnknown:
			effect = effectUnknown
		case effectNone:
		}
	}
	return effect
}

// acceptedBefore reports whether it is certain that the job was accepted before a cancellation of which a notice tells. Without
// a version, as in notices of earlier releases, the times of both rows tell: a cancellation from before the acceptance had
// been kept for WithdrawalAge by then.
func (j *jobState) acceptedBefore(row withdrawal) bool {
	return slices.ContainsFunc(j.rows, func(r jobRow) bool {
		switch {
		case !r.isOrdered(row):
			return false
		case r.version == 0 || row.version == 0:
			return row.at.After(j.job.Accepted.Add(-WithdrawalAge / 2))
		default:
			return r.effectOf(row) == effectEnds
		}
	})
}

// isOrdered reports whether the job's row was written on the condition that there was no row under the cancellation's key.
func (r jobRow) isOrdered(row withdrawal) bool {
	return r.checked && r.legacy == row.legacy()
}

// effectOf returns the effect of a cancellation on the job of a row. The versions order the two, since a cancellation with
// a lower version was not there any more when the job's row was written. Without that condition it counts while it is kept.
func (r jobRow) effectOf(row withdrawal) cancelEffect {
	switch {
	case !r.isOrdered(row):
		return effectEnds
	case r.version == 0:
		return effectUnknown
	case row.version < r.version:
		return effectNone
	default:
		return effectEnds
	}
}

// acceptedVersion returns the version at which the job was first accepted; 0 if it is unknown.
func (j *jobState) acceptedVersion() uint64 {
	version := j.rows[0].version
	for _, row := range j.rows[1:] {
		version = min(version, row.version)
	}
	return version
}
