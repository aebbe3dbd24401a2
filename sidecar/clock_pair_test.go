package sidecar

import (
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock/clocktest"
)

// suspendingClock suspends the VM once, after a number of readings.
type suspendingClock struct {
	*clocktest.Clock

	readings int
}

// Now implements clock.Clock.
func (c *suspendingClock) Now() time.Time {
	defer c.pass()
	return c.Clock.Now()
}

// Suspended implements clock.Clock.
func (c *suspendingClock) Suspended() time.Duration {
	defer c.pass()
	return c.Clock.Suspended()
}

func (c *suspendingClock) pass() {
	c.readings--
	if c.readings == 0 {
		c.Suspend(5 * time.Second)
	}
}

// Guards against a lease that is extended beyond the agent's, or taken for ended too early, because the VM was suspended
// between the readings of the time and of the suspensions until then.
func TestTimeAndSuspensionsAreReadAtOneMoment(t *testing.T) {
	is := is.New(t)
	for readings := 1; readings <= 4; readings++ {
		c := &suspendingClock{Clock: clocktest.Stopped(start)}
		a := New(c, nil, metrics.NewSet(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		c.readings = readings
		now := a.now()
		is.Equal(now.Sub(start), a.core.totalPause)
	}
}
