package pool

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Reasons why a worker does not take a task of a group.
const (
	objectionNone objection = iota
	// These are preferences, the least first.
	objectionUnproven
	objectionRack
	objectionFailed
	objectionTrial
	objectionAside
	// These are requirements, and the state of a worker that gets no work at all.
	objectionUnknown
	objectionDraining
	objectionEvacuated
	objectionSilent
	objectionLabel
	objectionTicket
	objectionDisturbs
	objectionRefused
	objectionRoom
	objectionCount
	objectionWithheld
)

const (
	// tellWaitingAfter is how long a job has nothing placed until the log says why. Most jobs
	// are placed within a pass, 10 ms.
	tellWaitingAfter = time.Second
	// tellWaitingEvery is how often the log says so again of the same job, and
	// tellWaitingGap how far apart two of its lines are: 10 a second at most, however many
	// jobs wait.
	tellWaitingEvery = 5 * time.Second
	tellWaitingGap   = 100 * time.Millisecond
)

// objection is why a worker does not take a task of a group.
type objection int

var objectionNames = map[objection]string{
	objectionNone:      "would take it",
	objectionUnknown:   "not known yet",
	objectionDraining:  "draining",
	objectionEvacuated: "evacuated",
	objectionSilent:    "silent",
	objectionAside:     "set aside",
	objectionLabel:     "without the label",
	objectionRack:      "away from its data",
	objectionTicket:    "without a ticket",
	objectionDisturbs:  "run what it must not share a worker with",
	objectionRefused:   "refused it just now",
	objectionFailed:    "failed it before",
	objectionTrial:     "on trial",
	objectionUnproven:  "not proven for a last attempt",
	objectionRoom:      "without room",
	objectionCount:     "have their share of its step",
	objectionWithheld:  "with room that is kept or held for others",
}

// tellWaiting says why each worker is passed over for the most pressing job that waits with
// nothing placed and of which that was not said lately.
func (p *pass) tellWaiting(rounds []readyRound) {
	if p.now.Sub(p.core.toldWaitingAt) < tellWaitingGap {
		return
	}
	for _, r := range rounds {
		if g := r.job.toExplain(p.now); g != nil {
			p.explain(g)
			return
		}
	}
}

// explain says why each worker is passed over for a group.
func (p *pass) explain(g *group) {
	p.core.toldWaitingAt = p.now
	g.job.toldAt = p.now
	g.job.waits = p.why(g)
	p.core.tell(Event{
		Kind:  EventWaiting,
		Job:   g.job.job.ID,
		Step:  g.step,
		First: g.first,
		Run:   g.run,
		Detail: fmt.Sprintf("for %s, %d tasks of %s, %d failures; workers: %s",
			p.now.Sub(g.readySince).Round(time.Millisecond), g.size, g.spec().Shape, g.failures, g.job.waits),
	})
}

// toExplain returns the first group that waits of a job with nothing placed, once in a while.
func (j *jobState) toExplain(now time.Time) *group {
	if now.Sub(j.toldAt) < tellWaitingEvery {
		return nil
	}
	var first *group
	for _, g := range j.groups {
		if g.placed() {
			return nil
		}
		if first == nil && g.waiting() && g.ready() && now.Sub(g.readySince) >= tellWaitingAfter {
			first = g
		}
	}
	return first
}

// why counts the workers by what keeps a group off them.
func (p *pass) why(g *group) string {
	counts := map[objection]int{}
	lent := p.offered(p.prospectOf(g))
	for _, w := range p.core.inOrder() {
		counts[p.objectionNow(g, w, lent)]++
	}
	return describe(counts)
}

// describe writes how many workers there are something speaks against.
func describe(counts map[objection]int) string {
	var parts []string
	for o := objectionNone; o <= objectionWithheld; o++ {
		if counts[o] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[o], objectionNames[o]))
		}
	}
	return strings.Join(parts, ", ")
}

// objectionNow is what keeps a group off a worker at present, its room included.
func (p *pass) objectionNow(g *group, w *worker, lent room) objection {
	if !p.usable(w) {
		return w.objection(p.now, p.core.settings)
	}
	if o := p.requirement(g, w); o != objectionNone {
		return o
	}
	if !p.liftsAll(g, w) {
		return p.preference(g, w)
	}
	switch {
	case p.free[w.slot].Holds(g.takes) == 0:
		return objectionRoom
	case p.count(g, w, p.free[w.slot]) == 0:
		return objectionCount
	case p.count(g, w, lent[w.slot]) == 0:
		return objectionWithheld
	}
	return objectionNone
}

// objection is why a worker gets no work at all.
func (w *worker) objection(now time.Time, s Settings) objection {
	switch {
	case w.instance == "" || w.listing == 0:
		return objectionUnknown
	case w.draining:
		return objectionDraining
	case w.evacuated:
		return objectionEvacuated
	case now.Sub(w.heard) > s.FreshFor:
		return objectionSilent
	}
	return objectionNone
}

// waitsFor returns what the log said last of why a job waits; empty once a task is placed.
func (j *jobState) waitsFor() string {
	if slices.ContainsFunc(j.groups, (*group).placed) {
		return ""
	}
	return j.waits
}
