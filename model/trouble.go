package model

import (
	"math"
	"math/rand/v2"

	"hollyfork.example/hollyfork/holder"
)

// schedule schedules the start and end of a trouble.
func (sim *simulation) schedule(t Trouble) {
	span := t.span()
	during := func(begin, over func()) {
		sim.after(span.At, begin)
		sim.after(span.end(), over)
	}
	switch t := t.(type) {
	case Burst: // included in the generated arrivals
	case SlowWorkers:
		affected := sim.drawWorkers(span, t.Share)
		during(func() { sim.setSlowdown(affected, t.Factor) }, func() { sim.setSlowdown(affected, 1) })
	case FailingWorkers:
		affected := sim.drawWorkers(span, t.Share)
		during(func() { setFailing(affected, true) }, func() { setFailing(affected, false) })
	case CrashingWorkers:
		for _, w := range sim.drawWorkers(span, t.Share) {
			during(func() { sim.crash(w) }, func() { sim.restart(w) })
		}
	case HolderKilled:
		sim.after(span.At, func() { sim.loseHolder(holder.TakeoverAfter + readDelay) })
	case SlowStore:
		during(func() { sim.storeSlowdown = t.Factor }, func() { sim.storeSlowdown = 1 })
	case SilentStore:
		sim.after(span.At, func() { sim.storeSilentFrom, sim.storeSilentUntil = sim.now, simulationStart.Add(span.end()) })
	}
}

// drawWorkers draws a share of the workers at random, at least one. The same seed and start of the span give the
// same workers.
func (sim *simulation) drawWorkers(span Span, share float64) []*worker {
	random := rand.New(rand.NewPCG(sim.seed, uint64(span.At)))
	count := max(1, int(math.Round(share*float64(len(sim.workers)))))
	var drawn []*worker
	for _, i := range random.Perm(len(sim.workers))[:min(count, len(sim.workers))] {
		drawn = append(drawn, sim.workers[i])
	}
	return drawn
}

// setSlowdown sets the factor by which workers are slowed down, 1 for full speed.
func (sim *simulation) setSlowdown(workers []*worker, factor float64) {
	for _, w := range workers {
		w.slowdown = factor
		for _, m := range w.sortedMembers() {
			sim.updateRate(m.run)
		}
	}
}

func setFailing(workers []*worker, fails bool) {
	for _, w := range workers {
		w.failing = fails
	}
}
