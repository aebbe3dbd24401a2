package gateway

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// maxCountAge is the maximum age of a count of waiting jobs. The count changes constantly, and callers request it
// from every gateway.
const maxCountAge = time.Second

// State returns the state of a job.
func (g *Gateway) State(ctx context.Context, call Call) (pool.State, error) {
	began := g.now()
	state, err := g.state(ctx, call)
	g.logAnswer(g.now(), "state", call, began, err)
	return state, err
}

func (g *Gateway) state(ctx context.Context, call Call) (pool.State, error) {
	const op = "state"
	t, err := g.resolve(g.now(), op, call)
	if err != nil {
		return 0, err
	}
	record, err := g.findJob(ctx, op, call, t)
	if err != nil {
		return 0, err
	}
	row, err := g.readRow(ctx, op, call, pool.StateKey(record.pool, record.id))
	if err != nil {
		return 0, err
	}
	state, err := pool.StateOf(row)
	if err != nil {
		return 0, g.malformedRowError(op, malformed.State, row, err)
	}
	if record.cancelled && state != pool.Done && state != pool.Failed {
		return pool.Cancelled, nil
	}
	return state, nil
}

// jobRecord is the part of a job that callers write.
type jobRecord struct {
	id job.ID
	// pool is the pool that the job was accepted for, which may differ from that of its queue now.
	pool string
	keys pool.JobKeys
	// version is that of the job's row.
	version   uint64
	cancelled bool
}

// findJob reads the rows that callers wrote for the job that a call names.
func (g *Gateway) findJob(ctx context.Context, op string, call Call, t target) (jobRecord, error) {
	if !job.ValidID(t.rest) {
		return jobRecord{}, &Error{Op: op, Kind: KindNoJob}
	}
	id := job.ID(t.rest)
	record, found, err := g.readJob(ctx, op, call, t, jobRecord{id: id, keys: pool.KeysOf(id)})
	if found || err != nil {
		return record, err
	}
	for _, poolName := range g.poolsOf(t) {
		legacy := jobRecord{id: id, pool: poolName, keys: pool.LegacyKeysOf(poolName, id)}
		if legacy, found, err = g.readJob(ctx, op, call, t, legacy); found || err != nil {
			return legacy, err
		}
	}
	return jobRecord{}, &Error{Op: op, Kind: KindNoJob}
}

// poolsOf returns the pools that may have jobs of a target's queue, that of the queue first: a job stays with the pool
// that it was accepted for.
func (g *Gateway) poolsOf(t target) []string {
	pools := []string{t.queue.Pool}
	for _, name := range g.follower.Catalog().Pools {
		if name != t.queue.Pool {
			pools = append(pools, name)
		}
	}
	return pools
}

// readJob reads the rows of a job under the keys of a record. It reports whether there is a job that the caller may
// read.
func (g *Gateway) readJob(ctx context.Context, op string, call Call, t target, record jobRecord) (jobRecord, bool, error) {
	page, err := g.read(ctx, op, call, record.keys.Range())
	if err != nil {
		return jobRecord{}, false, err
	}
	found := false
	for _, row := range page.Rows {
		switch row.Key {
		case record.keys.Job:
			content := &poolpb.JobRow{}
			if err := proto.Unmarshal(row.Value, content); err != nil {
				// The workspace is unknown: it is not known whether the job exists for this caller.
				return jobRecord{}, false, g.malformedRowError(op, malformed.Job, row, err)
			}
			if record.pool = cmp.Or(content.GetPool(), record.pool); record.pool == "" {
				return jobRecord{}, false, g.malformedRowError(op, malformed.Job, row, errNoPool)
			}
			record.version = row.Version
			found = t.mayRead(content)
		case record.keys.Cancel:
			record.cancelled = g.isCancelled(row)
		}
	}
	return record, found, nil
}

// mayRead reports whether the caller may read a job: the job belongs to the caller's workspace, or the queue is
// public and the job's.
func (t target) mayRead(row *poolpb.JobRow) bool {
	return row.GetWorkspace() == t.workspace || t.queue.Public && row.GetQueue() == t.queue.Name
}

// isCancelled reports whether a row cancels its job. It records a malformed row.
func (g *Gateway) isCancelled(row store.Row) bool {
	err := pool.CheckCancel(row)
	if err != nil {
		g.malformed.Note(g.now(), malformed.Cancellation, row.Key.Name, len(row.Value), err)
	}
	return err == nil
}

// malformedRowError records a malformed row and returns the error for the caller.
func (g *Gateway) malformedRowError(op string, kind malformed.Kind, row store.Row, err error) error {
	g.malformed.Note(g.now(), kind, row.Key.Name, len(row.Value), err)
	return &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter, Err: err}
}

func (g *Gateway) read(ctx context.Context, op string, call Call, r store.Range) (store.Page, error) {
	var page store.Page
	_, err := g.retry(ctx, call, func(ctx context.Context) error {
		var err error
		page, err = g.store.Read(ctx, r)
		return err
	})
	if err != nil {
		return page, readError(op, err)
	}
	return page, nil
}

// readRow reads one row; a row that does not exist has version 0.
func (g *Gateway) readRow(ctx context.Context, op string, call Call, key store.Key) (store.Row, error) {
	var row store.Row
	_, err := g.retry(ctx, call, func(ctx context.Context) error {
		var err error
		row, err = store.Get(ctx, g.store, key)
		return err
	})
	if err != nil {
		return row, readError(op, err)
	}
	return row, nil
}

// readError returns the error for the caller when the store could not be read.
func readError(op string, err error) error {
	return &Error{Op: op, Kind: KindUnavailable, RetryAfter: RetryAfter, Err: err}
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (g *Gateway) Waiting(ctx context.Context, call Call) (int, error) {
	began := g.now()
	count, err := g.waiting(ctx, call)
	g.logAnswer(g.now(), "waiting", call, began, err)
	return count, err
}

func (g *Gateway) waiting(ctx context.Context, call Call) (int, error) {
	const op = "waiting"
	t, err := g.resolve(g.now(), op, call)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, poolName := range g.poolsOf(t) {
		row, err := g.readSummary(ctx, op, call, poolName)
		if err != nil {
			return 0, err
		}
		count, err := pool.WaitingOf(row, t.queue.Name)
		if err != nil {
			err = g.malformedRowError(op, malformed.Summary, row, err)
		}
		if err != nil && poolName == t.queue.Pool {
			return 0, err
		}
		total += count
	}
	return total, nil
}

// readSummary reads the numbers of a pool's waiting jobs.
func (g *Gateway) readSummary(ctx context.Context, op string, call Call, poolName string) (store.Row, error) {
	var row store.Row
	_, err := g.retry(ctx, call, func(ctx context.Context) error {
		var err error
		row, err = g.recent.Recent(ctx, pool.SummaryKey(poolName), maxCountAge)
		return err
	})
	if err != nil {
		return row, readError(op, err)
	}
	return row, nil
}
