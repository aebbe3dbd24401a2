package gateway

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/catalog"
	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

var now = time.Unix(7000, 0)

// failingStore is a store that panics on every call: no request in these tests may reach the store.
type failingStore struct{}

func (failingStore) Commit(context.Context, store.Txn) (store.Stamp, error) {
	panic("the store was written")
}

func (failingStore) Read(context.Context, store.Range) (store.Page, error) {
	panic("the store was read")
}

func (failingStore) Follow(context.Context, string, uint64, time.Duration) (store.Page, error) {
	panic("the store was followed")
}

// memoryStore is a store without faults.
type memoryStore struct {
	*fakes.Store
}

func newMemoryStore() memoryStore {
	return memoryStore{fakes.NewStore(time.Now())}
}

func (m memoryStore) Commit(_ context.Context, txn store.Txn) (store.Stamp, error) {
	version, found, ok := m.Apply(txn)
	if !ok {
		return store.Stamp{}, &store.Error{Op: "commit", Kind: store.KindConflict, Rows: found}
	}
	return store.Stamp{Version: version}, nil
}

func (m memoryStore) Read(_ context.Context, r store.Range) (store.Page, error) {
	return store.Page{Rows: m.Rows(r)}, nil
}

func (memoryStore) Follow(context.Context, string, uint64, time.Duration) (store.Page, error) {
	panic("the store was followed")
}

// intakeRows returns all rows of the intake table.
func (m memoryStore) intakeRows(pools ...string) []store.Row {
	var rows []store.Row
	for _, name := range pools {
		for _, part := range pool.IntakeParts(name) {
			for _, row := range m.Rows(store.Range{Table: pool.IntakeTable, Part: part}) {
				if !slices.ContainsFunc(rows, func(known store.Row) bool { return known.Key == row.Key }) {
					rows = append(rows, row)
				}
			}
		}
	}
	return rows
}

// noNotifier loses all notices.
type noNotifier struct{}

func (noNotifier) Notify(string, store.Row, time.Duration) {}

func newTestGateway(config *catalog.Catalog) *Gateway {
	return newTestGatewayOn(failingStore{}, config)
}

func newTestGatewayOn(s store.Store, config *catalog.Catalog) *Gateway {
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	follower := NewFollower(clocktest.Stopped(now), nil, logger, malformed.New(logger, metrics.NewSet()))
	follower.apply(now, Update{Catalog: config})
	return New(s, KeysByID, store.NewDirectReader(s), noNotifier{}, follower, metrics.NewSet(), logger, malformed.New(logger, metrics.NewSet()))
}

func testConfig(version uint64, key string) *catalog.Catalog {
	return &catalog.Catalog{
		Version:    version,
		Queues:     []catalog.Queue{{Name: "q", Host: "h", Prefix: "/a/", Pool: "p"}, {Name: "long", Host: "h", Prefix: "/a/b/", Pool: "p", Public: true}},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{key}}},
	}
}

func TestCallsAreResolved(t *testing.T) {
	g := newTestGateway(testConfig(3, "k"))
	for _, test := range []struct {
		name string
		call Call
		at   time.Duration
		kind Kind
	}{
		{"known key", Call{Host: "h", Path: "/a/1", Key: "k"}, 0, 0},
		{"unknown key", Call{Host: "h", Path: "/a/1", Key: "x"}, 0, KindUnauthorised},
		{"no key", Call{Host: "h", Path: "/a/1"}, 0, KindUnauthorised},
		{"open queue", Call{Host: "h", Path: "/a/b/1"}, 0, 0},
		{"other host", Call{Host: "x", Path: "/a/1", Key: "k"}, 0, KindNoQueue},
		{"proof still good", Call{Host: "h", Path: "/a/1", Key: "k"}, MaxConfigAge, 0},
		{"proof too old", Call{Host: "h", Path: "/a/1", Key: "k"}, MaxConfigAge + 1, KindUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := g.resolve(now.Add(test.at), "test", test.call)
			if test.kind == 0 {
				is.NoErr(err)
				return
			}
			is.Equal(AsError(err).Kind, test.kind)
			is.Equal(AsError(err).RetryAfter > 0, test.kind == KindUnavailable)
		})
	}
}

func TestLongestPrefixDecides(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(testConfig(3, "k"))
	found, err := g.resolve(now, "test", Call{Host: "h", Path: "/a/b/1"})
	is.NoErr(err)
	is.Equal(found.queue.Name, "long")
	is.Equal(found.rest, "1")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(testConfig(3, "new"))
	g.follower.apply(now, Update{Catalog: testConfig(2, "old")})
	is.Equal(g.follower.Catalog().Version, uint64(3))
}

func TestReadinessFollowsFreshness(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(testConfig(3, "k"))
	is.True(g.Ready(now))
	is.True(!g.Ready(now.Add(MaxConfigAge + 1)))
	g.follower.apply(now.Add(MaxConfigAge), Update{})
	is.True(g.Ready(now.Add(MaxConfigAge + 1)))
	g.Stop()
	is.True(!g.Ready(now.Add(MaxConfigAge + 1)))
}

func TestRequestsAreRefusedBeforeTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(nil)
	is.True(!g.Ready(now))
	err := g.Submit(context.Background(), Call{Host: "h", Path: "/a/1", Key: "k"}, func() (job.Job, error) { panic("the job was read") })
	is.Equal(AsError(err).Kind, KindUnavailable)
}
