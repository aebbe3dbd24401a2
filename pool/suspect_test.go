package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a gang that waits for workers without other work because several of its workers were lost at once:
// its run can have crashed only one of them.
func TestWorkersLostDuringOneRunIsolateNoTask(t *testing.T) {
	is := is.New(t)
	g := &group{job: &jobState{}, crashes: similarCrashes(3, 2*time.Second)}
	for i := range g.crashes {
		g.crashes[i].run, g.crashes[i].index = 1, i
	}
	g.updateSuspicion()
	is.Equal(g.suspicion, suspicionSeparate)

	g.crashes[2].run = 2
	g.updateSuspicion()
	is.Equal(g.suspicion, suspicionIsolate)
}
