package pooltest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/program/cluster"
)

// Guards against LOST: the orders for jobs that are wide and have long specs went to a worker in one message of over 4 MiB,
// which its agent rejects by ending the connection; the jobs stood still with the pool idle.
func TestWideJobsWithLongSpecsStart(t *testing.T) {
	const (
		jobs      = 2
		width     = 600
		specBytes = 4000
	)
	is := is.New(t)
	c := cluster.New(t, 2, 1)
	spec := "60." + strings.Repeat("0", specBytes-len("60.s")) + "s" // a duration
	for id := 1; id <= jobs; id++ {
		c.Submit(id, fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":50,"mem_mb":50,"est_ms":60000}]}`, spec, width))
	}
	cluster.Eventually(t, "all tasks run", func() bool { return c.Runs.Running() == jobs*width })
	is.Equal(c.Runs.StartCount(), jobs*width)
	c.CheckRuns()
}
