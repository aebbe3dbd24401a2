package pool

import (
	"fmt"
	"strings"
	"time"
)

// maxToldRuns bounds the runs that the log names of a worker that crashed.
const maxToldRuns = 12

var lapseNames = map[Lapse]string{
	LapseUnknown: "the worker has ended, or its lease has lapsed unheard",
	LapseCrashed: "the worker's process has ended",
	LapseLeft:    "the worker has left",
	LapseSilent:  "the worker was silent until its lease had ended",
}

// workerLapsed gives up what ran on a worker, by what its agent knows of how that ended.
func (c *Core) workerLapsed(now time.Time, w *worker, lapse Lapse) {
	if lapse == LapseCrashed && len(w.members) > 0 {
		c.workerCrashed(now, w, "its process has ended")
	}
	c.workerLost(now, w, lapseNames[lapse])
}

// crashedBefore says whether a worker that comes as an incarnation has crashed with what was
// placed on the one before.
func (w *worker) crashedBefore(instance string) bool {
	if w.draining {
		return false
	}
	for _, m := range w.members {
		if m.instance != instance {
			return true
		}
	}
	return false
}

// workerCrashed tells what ran on a worker that has crashed.
func (c *Core) workerCrashed(now time.Time, w *worker, how string) {
	c.tell(Event{Kind: EventCrashed, Worker: w.agent, Detail: how + "; it ran " + w.ran(now)})
}

// ran names the runs on a worker and how long each had been ordered.
func (w *worker) ran(now time.Time) string {
	var runs []string
	for _, m := range w.members {
		if !m.maybeSent {
			continue
		}
		if len(runs) == maxToldRuns {
			runs = append(runs, "others")
			break
		}
		runs = append(runs, fmt.Sprintf("%s run %d for %s", m.task(), m.group.run, m.ranFor(now)))
	}
	if len(runs) == 0 {
		return "nothing"
	}
	return strings.Join(runs, ", ")
}

// ranFor is how long ago a member's run was ordered.
func (m *member) ranFor(now time.Time) time.Duration {
	if m.group.began.IsZero() {
		return 0
	}
	return now.Sub(m.group.began).Round(time.Millisecond)
}
