package clock

import (
	"context"
	"time"
)

const (
	// checkInterval is the interval between two checks of the clock.
	checkInterval = 500 * time.Millisecond
	// pauseThreshold is how late a check has to be for the process to count as paused.
	pauseThreshold = 500 * time.Millisecond
	// delayInterval is the interval between two checks for delays, and delayThreshold is how late a check has to be for
	// it to count as a delay.
	delayInterval  = 250 * time.Millisecond
	delayThreshold = 250 * time.Millisecond
	// delayReportInterval is the least interval between two reports of delays.
	delayReportInterval = time.Second
)

// Pause is a period in which a process did not run.
type Pause struct {
	// Duration is the length of the pause. Suspended is the part of it in which the VM was suspended.
	Duration  time.Duration
	Suspended time.Duration
}

// Delays sums up the times at which a process ran late, because its VM was suspended, it was frozen, or it got no
// CPU.
type Delays struct {
	Count   int
	Longest time.Duration
	Total   time.Duration
	// Suspended is the part of the total in which the VM was suspended.
	Suspended time.Duration
}

// WatchDelays calls onDelays after delays of the process, at most once a second, until ctx is done. It notices delays
// from delayThreshold on, and surely those that are delayInterval longer. It is meant for logs.
func WatchDelays(ctx context.Context, c Clock, onDelays func(Delays)) {
	reportedAt := time.Time{}
	unreported := Delays{}
	watch(ctx, c, delayInterval, func(now time.Time, late, suspended time.Duration) {
		if late >= delayThreshold {
			unreported = unreported.with(late, suspended)
		}
		if unreported.Count > 0 && now.Sub(reportedAt) >= delayReportInterval {
			onDelays(unreported)
			unreported, reportedAt = Delays{}, now
		}
	})
}

func (d Delays) with(late, suspended time.Duration) Delays {
	return Delays{Count: d.Count + 1, Longest: max(d.Longest, late), Total: d.Total + late, Suspended: d.Suspended + suspended}
}

// WatchPauses calls onPause after each pause of the process, whether its VM was suspended or the process
// was frozen, until ctx is done. Leases and deadlines account for pauses without it. It is meant for
// connections, which may have broken, and for logs.
func WatchPauses(ctx context.Context, c Clock, onPause func(Pause)) {
	watch(ctx, c, checkInterval, func(_ time.Time, late, suspended time.Duration) {
		if late >= pauseThreshold {
			onPause(Pause{Duration: late, Suspended: suspended})
		}
	})
}

// watch calls check at each interval until ctx is done, with the time by which the call is late and the time for which
// the VM was suspended since the call before.
func watch(ctx context.Context, c Clock, interval time.Duration, check func(now time.Time, late, suspended time.Duration)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last, suspended := c.Now(), c.Suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, total := c.Now(), c.Suspended()
		check(now, now.Sub(last)-interval, total-suspended)
		last, suspended = now, total
	}
}
