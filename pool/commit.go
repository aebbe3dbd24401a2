package pool

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// A transaction has at most 100 entries and 1 MB, with values in base64. The rest of a batch is left for the lease, the
// summary and the paces.
const (
	// maxBatchWrites is the maximum number of rows of jobs in a batch.
	maxBatchWrites = 90
	// maxBatchBytes is the size of the values in a batch, in bytes, from which no further job is added. With one more
	// row of the largest size, a transaction has 0.76 MB.
	maxBatchBytes = 500_000
	// maxJobWrites is the maximum number of rows of one job: it has two keys more in earlier releases.
	maxJobWrites = 5
)

type (
	// Batch is a set of rows to be committed in one transaction.
	Batch struct {
		Writes []store.Write

		// bytes is the size of the values of all rows of jobs.
		bytes   int
		items   []batchItem
		summary map[string]int
	}

	batchItem struct {
		job     *jobState
		changes uint64
		// placed are the members whose placement the batch records.
		placed []*member
	}
)

func (c *Core) markDirty(j *jobState) {
	j.changes++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// TakeBatch returns the next rows to commit. It returns nil if there are none, or while another batch
// is in flight.
func (c *Core) TakeBatch() *Batch {
	if c.batchInFlight != nil {
		return nil
	}
	b := &Batch{}
	for len(c.dirty) > 0 && len(b.Writes)+maxJobWrites <= maxBatchWrites && b.bytes < maxBatchBytes {
		j := c.dirty[0]
		c.dirty = c.dirty[1:]
		j.dirty = false
		if c.jobs[j.job.ID] == j { // otherwise its rows are deleted, or those of another job
			b.add(c.name, j)
		}
	}
	c.addSummary(b)
	if write, due := c.pacesRow(); due {
		b.Writes = append(b.Writes, write)
	}
	if len(b.Writes) == 0 {
		return nil
	}
	c.batchInFlight = b
	return b
}

func (b *Batch) add(pool string, j *jobState) {
	item := batchItem{job: j, changes: j.changes}
	if j.toRemove {
		b.items = append(b.items, item)
		b.Writes = append(b.Writes, j.removals(pool)...)
		return
	}
	row := encodeState(j.row())
	if len(row) > maxValueBytes {
		j.unwrittenBytes = len(row)
		if !j.state.ended() {
			return
		}
		row = encodeState(j.row())
	}
	for _, g := range j.groups {
		for _, m := range g.members {
			if m.phase == memberPlaced {
				item.placed = append(item.placed, m)
			}
		}
	}
	b.items = append(b.items, item)
	b.bytes += len(row)
	j.compressedBytes = compressedLength(row)
	b.Writes = append(b.Writes, store.Write{Key: StateKey(pool, j.job.ID), Value: row})
}

// removals returns the deletions of a job's rows.
func (j *jobState) removals(pool string) []store.Write {
	keys := []store.Key{StateKey(pool, j.job.ID)}
	for _, row := range j.rows {
		of := row.keys(pool, j.job.ID)
		keys = append(keys, of.Job, of.Cancel)
	}
	writes := make([]store.Write, len(keys))
	for i, key := range keys {
		writes[i] = store.Write{Key: key, Delete: true}
	}
	return writes
}

// addSummary adds the row with the numbers of waiting jobs if it has changed.
func (c *Core) addSummary(b *Batch) {
	waiting := c.waitingByQueue()
	if c.committedSummary != nil && maps.Equal(waiting, c.committedSummary) {
		return
	}
	row := &poolpb.SummaryRow{Layout: rowLayout, WaitingByQueue: map[string]int32{}}
	for queue, n := range waiting {
		row.WaitingByQueue[queue] = int32(n)
	}
	b.summary = waiting
	b.Writes = append(b.Writes, store.Write{Key: SummaryKey(c.name), Value: Encode(row)})
}

// waitingByQueue counts, by queue, the jobs without a schedule of which no task was started.
func (c *Core) waitingByQueue() map[string]int {
	waiting := map[string]int{}
	for _, j := range c.liveJobs {
		if !j.started && !j.state.ended() && j.job.Schedule.Immediate() {
			waiting[j.job.Queue]++
		}
	}
	return waiting
}

// BatchCommitted records that the batch in flight was committed.
func (c *Core) BatchCommitted(now time.Time) {
	b := c.batchInFlight
	c.batchInFlight = nil
	if b.summary != nil {
		c.committedSummary = b.summary
	}
	for _, item := range b.items {
		item.job.committedChanges = item.changes
		if item.job.toRemove {
			c.removeJob(now, item.job)
		}
		for _, m := range item.placed {
			c.memberCommitted(now, m)
		}
	}
	for _, w := range c.workers {
		c.advanceEnds(w)
	}
}

// removeJob forgets a job whose rows were deleted, and adds the one that was accepted under its identifier since.
func (c *Core) removeJob(now time.Time, j *jobState) {
	delete(c.jobs, j.job.ID)
	if j.successor != nil {
		c.AddJob(now, *j.successor)
	}
}

// BatchFailed records that the batch in flight was not committed. The next batches contain its changes
// again.
func (c *Core) BatchFailed() {
	b := c.batchInFlight
	c.batchInFlight = nil
	for _, item := range b.items {
		if !item.job.dirty {
			item.job.dirty = true
			c.dirty = append(c.dirty, item.job)
		}
	}
}

// memberCommitted makes the start of a member due after its placement was committed.
func (c *Core) memberCommitted(now time.Time, m *member) {
	if m.phase != memberPlaced {
		return
	}
	m.phase = memberOrdered
	m.nextSendAt = now
	c.ordersDue = true
	if m.group.orderedAt.IsZero() {
		m.group.orderedAt = now
	}
}

// rowLayout is the current version of the layout of rows.
const rowLayout = 1

// CancelRow returns the row for a cancellation, which the holder of a pool applies, at a reading of the store's
// clock.
func CancelRow(poolName string, at time.Duration) *poolpb.CancelRow {
	return &poolpb.CancelRow{Pool: poolName, Layout: rowLayout, CancelledMs: at.Milliseconds()}
}

// row returns the job's row of the state table.
func (j *jobState) row() *poolpb.StateRow {
	row := &poolpb.StateRow{Layout: rowLayout, State: stateToRow[j.state], DoneRoundsBelow: int32(j.roundLog.doneBelow)}
	for _, number := range slices.Sorted(maps.Keys(j.roundLog.done)) {
		row.DoneRounds = append(row.DoneRounds, int32(number))
	}
	if j.isSetAside() {
		return row
	}
	for _, g := range j.groups {
		if g.run == 0 && !g.done {
			continue
		}
		row.Groups = append(row.Groups, g.row())
	}
	return row
}

func (g *group) row() *poolpb.GroupState {
	row := &poolpb.GroupState{
		Round:     int32(g.round.number),
		Step:      int32(g.step),
		First:     int32(g.first),
		Done:      g.done,
		Run:       int32(g.run),
		Failures:  int32(g.failures),
		FailedRun: int32(g.lastFailedRun),
		Saved:     g.resumeFrom,
	}
	if !g.done {
		row.Crashes = crashRows(g.crashes)
		row.ExtraStarts = int32(g.extraStarts)
	}
	if g.done || !g.placed() {
		return row
	}
	row.Members = make([]*poolpb.MemberState, g.size)
	for i := range row.Members {
		row.Members[i] = &poolpb.MemberState{}
	}
	for _, m := range g.members {
		if m.phase != memberGone {
			row.Members[m.index-g.first] = &poolpb.MemberState{Agent: m.worker.agent, Instance: m.instance.String()}
		}
	}
	return row
}

func crashRows(crashes []crash) []*poolpb.CrashState {
	rows := make([]*poolpb.CrashState, len(crashes))
	for i, k := range crashes {
		rows[i] = &poolpb.CrashState{
			Index:    int32(k.index),
			Agent:    k.agent,
			Instance: k.instance.String(),
			AfterMs:  int32(k.after.Milliseconds()),
			Alone:    k.alone,
			Certain:  k.certain,
			Inexact:  k.inexact,
			Run:      int32(k.run),
			Started:  k.starts.seen,
		}
	}
	return rows
}

var stateToRow = map[State]poolpb.JobState_Value{
	Queued:    poolpb.JobState_QUEUED,
	Active:    poolpb.JobState_RUNNING,
	Done:      poolpb.JobState_DONE,
	Failed:    poolpb.JobState_FAILED,
	Cancelled: poolpb.JobState_CANCELLED,
}

// Encode marshals a message as the value of a row.
func Encode(m proto.Message) []byte {
	content, err := proto.Marshal(m)
	if err != nil {
		// Marshal fails only for strings that are not valid UTF-8, and jobs are validated for that on
		// acceptance.
		panic(err)
	}
	return content
}
