package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A gang one of whose workers does not answer is given up before its other tasks have waited
// in vain for so long that their workers end them.
func TestGangIsGivenUpBeforeItsWorkersDo(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.run(300 * time.Millisecond)
	mute := w.workers[1]
	w.submit(gang(1, 3, 8, time.Second))
	w.until("the gang is placed", func() bool { return w.count(EventPlaced) > 0 })
	mute.silent = true
	w.run(4 * time.Second)
	is.True(w.starts >= 2) // the others were started
	is.Equal(w.alone, 0)
	mute.silent = false
	w.run(10 * time.Second)
	is.Equal(w.state("0000000000000001"), Done)
	is.Equal(w.alone, 0)
}

// A displaced gang goes on from what any of its tasks saved, all from the same.
func TestGangGoesOnFromWhatItSaved(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.guarantee("urgent", 16)
	w.run(300 * time.Millisecond)
	displaced := gang(1, 2, 8, 10*time.Second)
	displaced.Terms.Priority = 1
	displaced.Steps[0].Checkpoint = true
	w.submit(displaced)
	w.run(2 * time.Second)
	urgent := gang(2, 2, 8, time.Second)
	urgent.Workspace = "urgent"
	w.submit(urgent)
	w.run(5 * time.Second)
	is.Equal(w.state(urgent.ID), Done)
	resumed := 0
	for _, f := range w.workers {
		for _, run := range f.running {
			if run.saved != "" {
				resumed++
			}
		}
	}
	is.Equal(resumed, 2)
}
