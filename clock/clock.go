// Package clock provides the time for ages, leases and deadlines. Like the monotonic clock of package time,
// it is not affected by changes of the wall clock, but it also counts the time during which the VM is
// suspended, so a lease that expired during a suspension has expired when the VM resumes.
package clock

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// maxReadingGap is how far apart the readings of two clocks may be that are taken for the same moment.
	maxReadingGap = time.Millisecond
	// maxReadings limits the attempts to read them.
	maxReadings = 10
)

var (
	// start holds the readings of the clocks at the start of the process, and startWall the wall clock time then.
	start     = readClocks(time.Now, sinceBoot)
	startWall = start.monotonic.Round(0)
)

// readings holds a reading of the monotonic clock, which stops while the VM is suspended, and one of the boot clock, which
// does not, at the same moment.
type readings struct {
	monotonic time.Time
	boot      time.Duration
}

// readClocks reads both clocks, and does so again if the caller was descheduled meanwhile.
func readClocks(monotonic func() time.Time, boot func() time.Duration) readings {
	var best readings
	var bestGap time.Duration
	for n := range maxReadings {
		r := readings{monotonic: monotonic(), boot: boot()}
		gap := monotonic().Sub(r.monotonic)
		if n == 0 || gap < bestGap {
			best, bestGap = r, gap
		}
		if gap <= maxReadingGap {
			break
		}
	}
	return best
}

// Clock is the source of time of code that runs in its own goroutines. Tests replace it to run, and to
// simulate suspensions, in virtual time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Suspended returns the total time for which the VM has been suspended.
	Suspended() time.Duration
}

// System is the clock of the VM.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time {
	return Now()
}

// Suspended implements Clock.
func (System) Suspended() time.Duration {
	return Suspended()
}

// Now returns the current time. It agrees with the wall clock at the start of the process and is not
// affected by later changes of the wall clock. A call takes about 109 ns, compared with 58 ns for time.Now.
func Now() time.Time {
	return startWall.Add(sinceBoot() - start.boot)
}

// Since returns the time elapsed since t, a reading of Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Suspended returns the total time for which the VM has been suspended since the process started. The error
// is at most maxReadingGap, unless the caller was descheduled in each attempt to read the clocks.
func Suspended() time.Duration {
	now := readClocks(time.Now, sinceBoot)
	return now.boot - start.boot - now.monotonic.Sub(start.monotonic)
}

// WallClockOffset returns how far the wall clock is ahead of now, a reading of Now.
func WallClockOffset(now time.Time) time.Duration {
	return time.Now().Round(0).Sub(now)
}

// sinceBoot returns the time since the VM booted, including suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	//nolint:gosec // As in unix.ClockGettime, which may wait for the scheduler.
	if result, _ := unix.RawSyscallNoError(unix.SYS_CLOCK_GETTIME, unix.CLOCK_BOOTTIME, uintptr(unsafe.Pointer(&ts)), 0); result != 0 {
		panic("clock: this system has no clock that counts suspensions")
	}
	return time.Duration(ts.Sec)*time.Second + time.Duration(ts.Nsec)
}
