package pool

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// newInstance gives up what ran on the worker's former instance.
func (c *Core) newInstance(now time.Time, w *worker, r Report) {
	if r.Instance.Matches(w.instance) {
		c.renameInstance(w, r.Instance)
		return
	}
	for _, m := range w.members {
		if m.instance.Matches(r.Instance) {
			m.instance = r.Instance
		}
	}
	if former, crashed := w.crashedBefore(r.Instance); crashed {
		c.workerCrashed(now, w, former, r.Instance, "it is back as "+r.Instance.String())
	}
	for _, m := range slices.Clone(w.members) {
		if m.instance != r.Instance {
			c.memberLost(now, m, "the worker was restarted")
		}
	}
	c.settleCrashes(now, w, r.Instance)
	w.instance = r.Instance
	w.most = job.Shape{}
	w.strays = map[runKey]*stray{}
	c.forgetEnds(w)
	w.listing = 0
	// What it ran may have crashed it, and a worker that was sound is no worse for that.
	w.health = health{proven: w.health.proven && !w.health.aside(now)}
	c.tell(Event{Kind: EventWorker, Worker: w.agent, Detail: r.Instance.String()})
}

// renameInstance takes over the start of an instance that was known by its worker's name alone, or by its start when
// its agent knows none: agents of releases that know no starts are replaced by others, and the other way round. Its ends are
// taken over anew, which changes nothing if it is the same.
func (c *Core) renameInstance(w *worker, id instance.ID) {
	for _, m := range w.members {
		if m.instance == w.instance {
			m.instance = id
		}
	}
	w.instance = id
	c.forgetEnds(w)
	w.listing = 0
}

// forgetRuns drops what a worker listed.
func (c *Core) forgetRuns(w *worker) {
	w.strays = map[runKey]*stray{}
	c.forgetEnds(w)
	w.listing = 0
}
