package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/clock/clocktest"
)

func TestWatchPausesReportsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vm := clocktest.New()
		ctx, cancel := context.WithCancel(t.Context())
		var reported []clock.Pause
		go clock.WatchPauses(ctx, vm, func(a clock.Pause) { reported = append(reported, a) })
		time.Sleep(10 * time.Second)
		vm.Suspend(100 * time.Millisecond) // below the threshold
		time.Sleep(10 * time.Second)
		vm.Suspend(3 * time.Second)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(reported, []clock.Pause{{Duration: 3 * time.Second, Suspended: 3 * time.Second}})
	})
}

// starvedClock jumps as the clock of a process that gets no CPU while its VM runs.
type starvedClock struct {
	*clocktest.Clock
}

func (starvedClock) Suspended() time.Duration { return 0 }

// Guards against a process that ran late and doesn't say so: leases and polls are counted in fractions of a second, and
// pauses were reported from half a second on.
func TestWatchDelaysReportsShortDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vm := starvedClock{clocktest.New()}
		ctx, cancel := context.WithCancel(t.Context())
		var reported []clock.Delays
		go clock.WatchDelays(ctx, vm, func(d clock.Delays) { reported = append(reported, d) })
		time.Sleep(10*time.Second + time.Millisecond)
		vm.Suspend(100 * time.Millisecond) // below the threshold
		time.Sleep(10 * time.Second)
		vm.Suspend(300 * time.Millisecond)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(reported, []clock.Delays{{Count: 1, Longest: 300 * time.Millisecond, Total: 300 * time.Millisecond}})
	})
}

func TestWatchDelaysReportsAtMostOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		vm := clocktest.New()
		ctx, cancel := context.WithCancel(t.Context())
		reports, delays := 0, 0
		go clock.WatchDelays(ctx, vm, func(d clock.Delays) {
			reports++
			delays += d.Count
			is.Equal(d.Suspended, d.Total)
		})
		time.Sleep(time.Millisecond)
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			vm.Suspend(250 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		is.Equal(delays, 40)
		is.True(reports <= 21) // in 20 s of the suspended clock
	})
}
