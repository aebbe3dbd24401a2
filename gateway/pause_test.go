package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/store"
)

// The time of a pause counts towards the age of the configuration. Otherwise a gateway whose VM was paused would
// accept a revoked key for up to 3.5 s after it resumes.
func TestConfigurationIsStaleAfterAPause(t *testing.T) {
	is := is.New(t)
	vm := clocktest.Stopped(now)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	bad := malformed.New(logger, metrics.NewSet())
	follower := NewFollower(vm, nil, logger, bad)
	follower.apply(now, Update{Catalog: testConfig(3, "k")})
	g := New(failingStore{}, KeysByID, store.NewDirectReader(failingStore{}), nil, follower, metrics.NewSet(), logger, bad)
	is.True(g.Ready(vm.Now()))

	vm.Suspend(MaxConfigAge + time.Millisecond)
	is.True(!g.Ready(vm.Now()))
	err := g.Submit(context.Background(), Call{Host: "h", Path: "/a/1", Key: "k"}, nil) // without a call to the store
	is.Equal(AsError(err).Kind, KindUnavailable)
	is.Equal(AsError(err).RetryAfter, RetryAfter)

	follower.apply(vm.Now(), Update{})
	is.True(g.Ready(vm.Now()))
}

// A request is refused if the VM was paused between the check of the caller's key and the call to the store, here
// while the request's body is read.
func TestRequestPausedOnItsWayIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vm := clocktest.New()
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		bad := malformed.New(logger, metrics.NewSet())
		follower := NewFollower(vm, nil, logger, bad)
		follower.apply(vm.Now(), Update{Catalog: testConfig(3, "k")})
		g := New(failingStore{}, KeysByID, store.NewDirectReader(failingStore{}), nil, follower, metrics.NewSet(), logger, bad)
		decode := func() (job.Job, error) {
			vm.Suspend(time.Minute)
			return job.Job{Spec: "x", Steps: []job.Step{{Count: 1, Shape: job.Shape{CPUMillis: 1, MemoryMB: 1}}}}, nil
		}
		err := g.Submit(t.Context(), Call{Host: "h", Path: "/a/0000000000000001", Key: "k"}, decode)
		is.Equal(AsError(err).Kind, KindUnavailable) // the store was not called: it would have panicked
	})
}
