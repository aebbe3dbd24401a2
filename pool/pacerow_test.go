package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// A new holder restores the paces from the rows of the former.
func TestPacesSurviveATakeover(t *testing.T) {
	is := is.New(t)
	sim := newSlowWorkerSimulation(t, 12)
	sim.takeOver()
	sim.run(time.Second)
	for i, f := range sim.workers {
		is.Equal(sim.core.workers[f.name].pace.slow(), i%3 == 0)
	}
}

// An unreadable row leaves the paces of all workers unknown.
func TestBadPaceRowIsRejected(t *testing.T) {
	is := is.New(t)
	for _, content := range [][]byte{{0xff, 0xff}, []byte("noise"), Encode(&poolpb.PacesRow{Layout: rowLayout + 1})} {
		c := New("pool", DefaultSettings(), nil)
		err := c.RestoreState(time.Unix(1000, 0), store.Row{Key: pacesKey("pool"), Value: content, Version: 1})
		is.True(err != nil)
		is.Equal(len(c.paces.inherited), 0)
	}
}

// Guards against LOST: the paces of many workers with long names made a row that the store refuses, and with it all rows of
// the pool.
func TestRowOfManyPacesCanBeWritten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New("pool", DefaultSettings(), nil)
	for i := range 1000 {
		agent := fmt.Sprintf("%s-%04d", wideAgent, i)
		c.reportIdleWorker(now, agent, fmt.Sprintf("%s-%04d", wideInstance, i), 1)
		c.workers[agent].pace = pace{class: 1, log: 0.7, runs: 3}
	}
	c.paces.updatedAt = now.Add(pacesWriteInterval)
	write, due := c.pacesRow()
	is.True(due)
	is.True(len(write.Value) <= maxValueBytes)
	is.NoErr(c.restorePaces(now, store.Row{Key: write.Key, Value: write.Value}))
	is.True(len(c.paces.inherited) > 600)
}
