package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/malformed"
)

// A gateway whose VM was suspended took its proof of the configuration for as young as before, and ran requests
// with a key that had been taken away for up to 3.5 s after it woke.
func TestProofOfTheConfigurationEndsInASuspension(t *testing.T) {
	is := is.New(t)
	vm := clocktest.Standing(now)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	bad := malformed.New(logger, metrics.NewSet())
	follower := NewFollower(vm, nil, logger, bad)
	follower.take(now, Update{Catalog: testConfig(3, "k")})
	g := New(unused{}, nil, follower, metrics.NewSet(), logger, bad)
	is.True(g.Ready(vm.Now()))

	vm.Suspend(MaxAge + time.Millisecond)
	is.True(!g.Ready(vm.Now()))
	err := g.Submit(context.Background(), Call{Host: "h", Path: "/a/1", Key: "k"}, nil) // the store is not asked
	is.Equal(AsError(err).Kind, KindUnavailable)
	is.Equal(AsError(err).RetryAfter, RetryAfter)

	follower.take(vm.Now(), Update{})
	is.True(g.Ready(vm.Now()))
}
