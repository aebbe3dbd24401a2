package pool

import (
	"fmt"
	"slices"
	"time"
)

const (
	// waitingEmitDelay is how long a job has to wait with nothing placed before the reason is emitted. Most
	// jobs are placed by the next pass, within about 10 ms.
	waitingEmitDelay = time.Second
	// waitingEmitInterval is the interval at which the reason is emitted again for the same job, and
	// waitingEmitGap is the shortest time between two such events: at most 10 a second, however many jobs wait.
	waitingEmitInterval = 5 * time.Second
	waitingEmitGap      = 100 * time.Millisecond
)

// emitNextWaiting emits why a job waits: the first job in placement order that has nothing placed, has waited
// for waitingEmitDelay and has no recent such event.
func (p *pass) emitNextWaiting(rounds []readyRound) {
	if p.now.Sub(p.core.waitingEmittedAt) < waitingEmitGap {
		return
	}
	for _, r := range rounds {
		if g := r.job.groupToReport(p.now); g != nil {
			p.emitWaiting(g)
			return
		}
	}
}

// emitWaiting emits why a group waits, with the number of workers by objection.
func (p *pass) emitWaiting(g *group) {
	p.core.waitingEmittedAt = p.now
	g.job.waitEmittedAt = p.now
	g.job.waitReason = p.workersByObjection(g)
	g.job.shortage = p.shortageOf(g).String()
	reserved := p.describeReservations()
	if reserved != "" {
		reserved = "; held for " + reserved
	}
	p.core.emit(Event{
		Kind: EventWaiting,
		Job:  g.job.job.ID,
		Task: g.task(g.first),
		Run:  g.run,
		Detail: fmt.Sprintf("for %s, priority %d, due in %s, %d tasks of %s, %d failures; workers: %s; %s%s; free accelerators: %s",
			p.now.Sub(g.readySince).Round(time.Millisecond), g.job.job.Terms.Priority, g.due().Sub(p.now).Round(time.Millisecond),
			g.size, g.spec().Shape, g.failures, g.job.waitReason, g.job.shortage, reserved, p.core.FreeAccelerators(p.now)),
	})
}

// groupToReport returns the first waiting group of a job with nothing placed, or nil if the job has not waited
// for long or had such an event recently.
func (j *jobState) groupToReport(now time.Time) *group {
	if now.Sub(j.waitEmittedAt) < waitingEmitInterval {
		return nil
	}
	var first *group
	for _, g := range j.groups {
		if g.placed() {
			return nil
		}
		if first == nil && g.waiting() && g.ready() && now.Sub(g.readySince) >= waitingEmitDelay {
			first = g
		}
	}
	return first
}

// workersByObjection describes the number of workers by the reason why the group is not placed on them.
func (p *pass) workersByObjection(g *group) string {
	counts := map[objection]int{}
	available := p.availableTo(p.demandStateOf(g))
	for _, w := range p.core.sortedWorkers() {
		counts[p.currentObjection(g, w, available)]++
	}
	return describe(counts)
}

// waitingReason returns the last emitted reason why the job waits; it returns "" once a task is placed.
func (j *jobState) waitingReason() string {
	if slices.ContainsFunc(j.groups, (*group).placed) {
		return ""
	}
	return j.waitReason
}

// shortageText returns the last emitted shortage of the job; it returns "" once a task is placed.
func (j *jobState) shortageText() string {
	if slices.ContainsFunc(j.groups, (*group).placed) {
		return ""
	}
	return j.shortage
}
