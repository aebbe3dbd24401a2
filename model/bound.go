package model

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

// slotLength is the resolution of time in the bound. Longer slots only raise the bound.
const slotLength = 500 * time.Millisecond

// Bound returns an upper bound on the share of the value of all jobs that any decisions can earn, even with
// knowledge of all future arrivals and faults. It solves a relaxed problem: only one resource is scarce, work moves
// between workers and resumes later at no cost, and the value that a job loses when it is late is earned separately
// from the value that it keeps. Each relaxation can only raise the bound. The result is the lowest of the bounds by
// resource.
//
// The relaxed problem is a flow from jobs, through the time slots in which they may run, to the capacity of the
// resource in these slots. The sets of work that can be served together form a polymatroid, so a greedy algorithm
// gives the greatest value: it takes the jobs by decreasing value per unit of the resource and serves as much of
// each as still fits.
func Bound(workload Workload, seed uint64) float64 {
	jobs := workload.GenerateArrivals(seed)
	total := 0.0
	for _, a := range jobs {
		total += a.Value
	}
	if total == 0 {
		return 1
	}
	late := func(a Arrival) float64 { return workload.Kinds[a.Kind].LateValueShare * a.Value }
	bound := 1.0
	for _, res := range []unitsFunc{acceleratorUnits, memoryUnits, cpuUnits} {
		b := relaxation{workload: workload, jobs: jobs, seed: seed, units: res}
		served := b.maxValue(func(a Arrival) (time.Duration, float64) { return a.LateUntil, late(a) })
		served += b.maxValue(func(a Arrival) (time.Duration, float64) { return a.Due, a.Value - late(a) })
		bound = min(bound, served/total)
	}
	return bound
}

type (
	// unitsFunc returns the amount of one resource in a shape, in units of which a worker has some thousands.
	unitsFunc func(job.Shape) float64

	// relaxation is the relaxed problem for a workload in which one resource is scarce.
	relaxation struct {
		workload Workload
		jobs     []Arrival
		seed     uint64
		units    unitsFunc
	}
)

func acceleratorUnits(s job.Shape) float64 {
	return 1000 * float64(s.Accelerators)
}

func memoryUnits(s job.Shape) float64 {
	return float64(s.MemoryMB) / 100
}

func cpuUnits(s job.Shape) float64 {
	return float64(s.CPUMillis) / 10
}

// work returns the amount of the resource that a job needs, in units times seconds at speed 1.
func (b relaxation) work(a Arrival) float64 {
	return b.demand(a) * a.Work.Seconds()
}

// demand returns the amount of the resource that all tasks of a job take at once.
func (b relaxation) demand(a Arrival) float64 {
	return float64(a.Job.Steps[0].Count) * b.units(a.Job.Steps[0].Demand())
}

// ceilUnits rounds an amount of work up to whole units, at least one.
func ceilUnits(work float64) int64 {
	return max(1, int64(math.Ceil(work)))
}

// maxValue returns the greatest total value that jobs can earn. The terms of a job are its value and the time until
// which work on it counts.
func (b relaxation) maxValue(terms func(Arrival) (until time.Duration, value float64)) float64 {
	f := newFlow(b.capacities())
	order := slices.Clone(b.jobs)
	density := func(a Arrival) float64 {
		_, value := terms(a)
		return value / float64(ceilUnits(b.work(a)))
	}
	slices.SortStableFunc(order, func(x, y Arrival) int {
		return cmp.Compare(density(y), density(x))
	})
	sum := 0.0
	for _, a := range order {
		until, value := terms(a)
		size := max(1, int64(b.work(a))) // rounded down, while capacities are rounded up: both only raise the bound
		sum += value * float64(f.add(b.slotEdges(a, until), size)) / float64(size)
	}
	return sum
}

// slotEdges returns, for each slot of a job's time, the amount of its work that fits into the slot.
func (b relaxation) slotEdges(a Arrival, until time.Duration) []edge {
	fastest := slices.Max(b.workload.Pool.Speeds)
	var edges []edge
	for s := int(a.At / slotLength); time.Duration(s)*slotLength < until; s++ {
		from := max(a.At, time.Duration(s)*slotLength)
		to := min(until, time.Duration(s+1)*slotLength)
		edges = append(edges, edge{slot: s, capacity: ceilUnits(b.demand(a) * fastest * (to - from).Seconds())})
	}
	return edges
}

// capacities returns the amount of work that all workers can do in each slot.
func (b relaxation) capacities() []int64 {
	w := b.workload
	last := w.Length
	for _, a := range b.jobs {
		last = max(last, a.LateUntil)
	}
	sim := &simulation{workload: w, seed: b.seed}
	for i := range w.Pool.Workers {
		sim.workers = append(sim.workers, newWorker(sim, i))
	}
	capacities := make([]int64, int(last/slotLength)+2)
	for s := range capacities {
		work := 0.0
		for _, worker := range sim.workers {
			share := w.speedShare(sim, worker, time.Duration(s)*slotLength)
			work += share * worker.speed * b.units(w.Pool.WorkerCapacity) * slotLength.Seconds()
		}
		capacities[s] = ceilUnits(work)
	}
	return capacities
}

// speedShare returns an upper bound on the share of its speed that a worker has in a slot. A trouble that covers
// only a part of the slot is ignored.
func (w Workload) speedShare(sim *simulation, worker *worker, from time.Duration) float64 {
	share := 1.0
	for _, t := range w.Troubles {
		if t.span().At > from || t.span().end() < from+slotLength {
			continue
		}
		switch t := t.(type) {
		case SlowWorkers:
			if slices.Contains(sim.drawWorkers(t.Span, t.Share), worker) {
				share = min(share, 1/t.Factor)
			}
		case CrashingWorkers:
			if slices.Contains(sim.drawWorkers(t.Span, t.Share), worker) {
				share = 0
			}
		case Burst, HolderKilled, SlowStore, SilentStore: // these need not cost anything if they are known in advance
		case FailingWorkers: // runs that have started continue
		}
	}
	return share
}
