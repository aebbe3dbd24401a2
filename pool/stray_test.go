package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// A worker may run what its holder knows nothing of: an order of an earlier holder that was
// carried out late. It takes room until it is gone.
func TestStrayTakesRoomUntilItIsGone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	stray := gang(1, 1, 8, time.Hour)
	stray.Steps[0].Label = "no worker has this"
	w.submit(stray)
	f := w.workers[0]
	f.running[runKey{job.TaskID{Job: stray.ID}, 1}] = &fakeRun{placed: w.now, begun: w.now, work: time.Hour}
	f.leaseUntil = w.now.Add(DefaultSettings().AgentLease)
	w.submit(gang(2, 1, 8, 200*time.Millisecond))
	w.run(60 * time.Millisecond)
	is.Equal(w.starts, 0)
	w.run(2 * time.Second)
	is.Equal(w.count(EventStray), 1)
	is.Equal(w.state("0000000000000002"), Done) // the world checks that there was room
}
