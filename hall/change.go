package hall

import (
	"cmp"
	"slices"

	"hollyfork.example/wire"
)

// maxChangesKept is the number of latest changes that are kept when the log is trimmed, which happens when
// it holds twice as many.
const maxChangesKept = 20000

// change is a committed change of a job and its position in the hall's change stream.
type change struct {
	position uint64
	record   *wire.Job
}

// changeLog holds the latest changes of a hall in order. The zero value is an empty log.
type changeLog struct {
	changes []change
	// completeAfter is the position after which the log contains every change.
	completeAfter uint64
	last          uint64
}

func (l *changeLog) append(position uint64, record *wire.Job) {
	l.changes = append(l.changes, change{position: position, record: record})
	l.last = max(l.last, position)
	if len(l.changes) > 2*maxChangesKept {
		cut := len(l.changes) - maxChangesKept
		l.completeAfter = l.changes[cut-1].position
		l.changes = slices.Clone(l.changes[cut:])
	}
}

// restore initialises an empty log with the jobs that a new holder has read: the latest state of each job
// that changed after completeAfter.
func (l *changeLog) restore(completeAfter, last uint64, changes []change) {
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.position, b.position) })
	l.changes = changes
	l.completeAfter = completeAfter
	l.last = last
}

// after returns the changes after a position, and the position from which to continue. It stops when it has
// limit changes, but never between the changes of one transaction. The result ok is false if changes after
// the position have already been removed.
func (l *changeLog) after(position uint64, limit int) (records []*wire.Job, last uint64, ok bool) {
	if position < l.completeAfter {
		return nil, 0, false
	}
	start, _ := slices.BinarySearchFunc(l.changes, position+1, func(c change, p uint64) int {
		return cmp.Compare(c.position, p)
	})
	last = max(position, l.last)
	for i := start; i < len(l.changes); i++ {
		if len(records) >= limit && l.changes[i].position != l.changes[i-1].position {
			return records, l.changes[i-1].position, true
		}
		records = append(records, l.changes[i].record)
	}
	return records, last, true
}

// Changes returns the committed changes after a position; see changeLog.after.
func (c *Core) Changes(position uint64, limit int) (records []*wire.Job, last uint64, ok bool) {
	return c.changes.after(position, limit)
}

// LastPosition returns the position of the latest change.
func (c *Core) LastPosition() uint64 {
	return c.changes.last
}
