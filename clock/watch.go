package clock

import (
	"context"
	"time"
)

const (
	// watchEvery is how often Watch looks at the clock.
	watchEvery = 500 * time.Millisecond
	// awayAfter is how late a look has to be until the process counts as having been away.
	awayAfter = 500 * time.Millisecond
)

// Absence is a time in which a process did nothing.
type Absence struct {
	// For is how long it lasted, and Suspended how much of it the VM was suspended.
	For       time.Duration
	Suspended time.Duration
}

// Watch tells of each absence of the process, until ctx is done: its VM was suspended, or it stood still.
// What rests on time finds out by itself; this is for what rests on connections, and for the log.
func Watch(ctx context.Context, c Clock, tell func(Absence)) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	last, suspended := c.Now(), c.Suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, total := c.Now(), c.Suspended()
		if late := now.Sub(last) - watchEvery; late >= awayAfter {
			tell(Absence{For: late, Suspended: total - suspended})
		}
		last, suspended = now, total
	}
}
