package gateway

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/wire/poolpb"
)

const (
	movedID   = "00000000000000a1"
	movedPath = "/a/" + movedID
)

// inPool returns a configuration whose queue is in a pool.
func inPool(version uint64, poolName string) *catalog.Catalog {
	return &catalog.Catalog{
		Version:    version,
		Queues:     []catalog.Queue{{Name: "q", Host: "h", Prefix: "/a/", Pool: poolName, Terms: job.Terms{Attempts: 1}}},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"k"}}},
		Pools:      []string{"p1", "p2"},
	}
}

func submitTo(g *Gateway, path, key string) error {
	return g.Submit(context.Background(), Call{Host: "h", Path: path, Key: key}, func() (job.Job, error) {
		return job.Job{Spec: "work", Steps: []job.Step{{Count: 1, Shape: job.Shape{Accelerators: 1}}}}, nil
	})
}

// Guards against TWICE and LOST: gateways looked for a job in the pool that its queue has now, not where it was
// accepted. They answered 410, and accepted it a second time.
func TestJobStaysWithItsPoolWhenItsQueueMoves(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	g := newTestGatewayOn(s, inPool(1, "p1"))
	call := Call{Host: "h", Path: movedPath, Key: "k"}
	is.NoErr(submitTo(g, movedPath, "k"))
	s.Put(pool.StateTable, "p1", pool.StateKey("p1", movedID).Name, pool.Encode(&poolpb.StateRow{State: poolpb.JobState_RUNNING}))
	for version, poolName := range []string{2: "p2", 3: "p1", 4: "p2"} {
		g.follower.apply(now, Update{Catalog: inPool(uint64(version), poolName)})
		state, err := g.State(context.Background(), call)
		is.NoErr(err)
		is.Equal(state, pool.Active)
		is.NoErr(submitTo(g, movedPath, "k"))
		is.Equal(len(s.intakeRows("p1", "p2")), 1) // it remains one job
	}
	is.NoErr(g.Cancel(context.Background(), call))
	cancelled := 0
	for _, row := range s.intakeRows("p1", "p2") {
		item, err := pool.DecodeIntake(row, pool.Clock{})
		is.NoErr(err)
		if c, ok := item.(pool.Cancellation); ok {
			is.Equal(c.ID, job.ID(movedID))
			is.Equal(c.Pool, "p1") // the holder of its pool cancels it
			cancelled++
		}
	}
	is.Equal(cancelled, 1)
}

// Guards against TWICE: two gateways, one of them behind in its configuration, each accepted a job for another pool.
func TestGatewaysWithDifferentConfigurationsAcceptOneJob(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	for _, g := range []*Gateway{newTestGatewayOn(s, inPool(1, "p1")), newTestGatewayOn(s, inPool(2, "p2"))} {
		is.NoErr(submitTo(g, movedPath, "k"))
	}
	is.Equal(len(s.intakeRows("p1", "p2")), 1)
}

// Guards against LOST in an upgrade: earlier releases wrote the rows of jobs under keys of their pools.
func TestJobUnderLegacyKeysIsFound(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	j := job.Job{ID: movedID, Queue: "q", Workspace: "w", Terms: job.Terms{Attempts: 1}, Steps: []job.Step{{Count: 1}}}
	row := pool.JobRow("", j, 0)
	keys := pool.LegacyKeysOf("p1", movedID)
	s.Put(keys.Job.Table, keys.Job.Part, keys.Job.Name, pool.Encode(row))
	s.Put(pool.StateTable, "p1", pool.StateKey("p1", movedID).Name, pool.Encode(&poolpb.StateRow{State: poolpb.JobState_RUNNING}))
	g := newTestGatewayOn(s, inPool(2, "p2"))
	call := Call{Host: "h", Path: movedPath, Key: "k"}
	state, err := g.State(context.Background(), call)
	is.NoErr(err)
	is.Equal(state, pool.Active)
	is.NoErr(g.Cancel(context.Background(), call))
	is.True(s.Row(keys.Cancel).Version > 0) // the holder of any release reads it
}

// Beside gateways of an earlier release, jobs are written where these look for them, cancellations of unknown jobs too.
func TestLegacyKeysAreWrittenOnRequest(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	g := newTestGatewayOn(s, inPool(1, "p1"))
	g.keys = pool.LegacyKeysOf
	is.NoErr(submitTo(g, movedPath, "k"))
	is.True(s.Row(pool.LegacyKeysOf("p1", movedID).Job).Version > 0)
	_, err := g.State(context.Background(), Call{Host: "h", Path: movedPath, Key: "k"})
	is.NoErr(err)
	const other = "00000000000000a2"
	is.Equal(AsError(g.Cancel(context.Background(), Call{Host: "h", Path: "/a/" + other, Key: "k"})).Kind, KindNoJob)
	is.True(s.Row(pool.LegacyKeysOf("p1", other).Cancel).Version > 0)
	is.Equal(AsError(submitTo(g, "/a/"+other, "k")).Kind, KindUnavailable)
}

// Guards against MIXED: the jobs that wait in the pool that a queue had before were left out of its count.
func TestWaitingJobsOfEarlierPoolsAreCounted(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	for poolName, count := range map[string]int32{"p1": 3, "p2": 2} {
		s.Put(pool.StateTable, poolName, pool.SummaryKey(poolName).Name, pool.Encode(&poolpb.SummaryRow{Layout: 1, WaitingByQueue: map[string]int32{"q": count, "other": 9}}))
	}
	g := newTestGatewayOn(s, inPool(2, "p2"))
	count, err := g.Waiting(context.Background(), Call{Host: "h", Path: "/a/", Key: "k"})
	is.NoErr(err)
	is.Equal(count, 5)
	s.Put(pool.StateTable, "p1", pool.SummaryKey("p1").Name, []byte{0xff})
	count, err = g.Waiting(context.Background(), Call{Host: "h", Path: "/a/", Key: "k"})
	is.NoErr(err) // the malformed row of another pool stops no count
	is.Equal(count, 2)
}

// A public queue shows its own jobs: job identifiers tell nothing of the queue.
func TestPublicQueueShowsOnlyItsOwnJobs(t *testing.T) {
	is := is.New(t)
	s := newMemoryStore()
	config := inPool(1, "p1")
	config.Queues = append(config.Queues, catalog.Queue{Name: "open", Host: "h", Prefix: "/open/", Pool: "p2", Public: true, Terms: job.Terms{Attempts: 1}})
	g := newTestGatewayOn(s, config)
	is.NoErr(submitTo(g, movedPath, "k"))
	_, err := g.State(context.Background(), Call{Host: "h", Path: "/open/" + movedID})
	is.Equal(AsError(err).Kind, KindNoJob)
	is.NoErr(submitTo(g, "/open/00000000000000a2", "k"))
	_, err = g.State(context.Background(), Call{Host: "h", Path: "/open/00000000000000a2"})
	is.NoErr(err)
}
