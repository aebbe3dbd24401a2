package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process that was descheduled between its first two readings counted a negative suspension from then on. An agent that
// began so took its worker's leases for ended up to 5 s too early.
func TestClocksAreReadAtOneMoment(t *testing.T) {
	is := is.New(t)
	base, elapsed, count := time.Unix(1000, 0), time.Duration(0), 0
	monotonic := func() time.Time { return base.Add(elapsed) }
	boot := func() time.Duration {
		if count++; count <= 2 {
			elapsed += 5 * time.Second
		}
		return time.Hour + elapsed
	}
	r := readClocks(monotonic, boot)
	is.Equal(r.boot-time.Hour, r.monotonic.Sub(base))
}

func TestClosestReadingsCountOnABusyVM(t *testing.T) {
	is := is.New(t)
	base, elapsed, count := time.Unix(1000, 0), time.Duration(0), 0
	monotonic := func() time.Time { return base.Add(elapsed) }
	boot := func() time.Duration {
		count++
		elapsed += 2 * time.Millisecond
		if count != maxReadings/2 {
			elapsed += time.Second
		}
		return time.Hour + elapsed
	}
	r := readClocks(monotonic, boot)
	is.Equal(count, maxReadings)
	is.Equal(r.boot-time.Hour-r.monotonic.Sub(base), 2*time.Millisecond)
}
