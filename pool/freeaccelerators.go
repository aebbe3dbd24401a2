package pool

import (
	"fmt"
	"strings"
	"time"
)

// FreeAccelerators counts the free accelerators by the reason why they are not in use.
type FreeAccelerators struct {
	// Open accelerators are available to all waiting work.
	Open int `json:"open"`
	// Headroom accelerators were released by urgent work a short time ago and stay available to urgent work.
	// Reserved ones are reserved for gangs that wait for other runs to end. Promised ones are assigned to work
	// that waits until the rest of its capacity is released.
	Headroom int `json:"kept"`
	Reserved int `json:"held"`
	Promised int `json:"promised"`
	// Isolated accelerators are on workers that run a task suspected of crashing workers and get no other work
	// beside it.
	Isolated int `json:"left_alone"`
	// OnProbation and Quarantined accelerators are on workers on which runs failed.
	OnProbation int `json:"on_trial"`
	Quarantined int `json:"set_aside"`
	// Unavailable accelerators are on workers that are silent, leaving or in evacuated data centres.
	Unavailable int `json:"unavailable"`
}

// String returns the counts that are not zero, for operators.
func (f FreeAccelerators) String() string {
	var parts []string
	for _, part := range []struct {
		count int
		text  string
	}{
		{f.Open, "open"},
		{f.Headroom, "kept for urgent work"},
		{f.Reserved, "held for gangs"},
		{f.Promised, "promised"},
		{f.Isolated, "left alone with tasks under which workers crash"},
		{f.OnProbation, "on workers on trial"},
		{f.Quarantined, "on workers set aside"},
		{f.Unavailable, "on workers that get no work"},
	} {
		if part.count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.count, part.text))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// recordWithheld records the reserved and promised accelerators of each worker at the end of a pass.
func (p *pass) recordWithheld() {
	for _, w := range p.workers {
		w.reserved = p.reserved[w.slot].Accelerators
		w.promised = max(0, w.freeCapacity().Accelerators-p.free[w.slot].Accelerators)
	}
}

// clearWithheld resets what recordWithheld recorded; without waiting work nothing is reserved or promised.
func (c *Core) clearWithheld() {
	for _, w := range c.workers {
		w.reserved, w.promised = 0, 0
	}
}

// FreeAccelerators counts the free accelerators by the reason why they are not in use.
func (c *Core) FreeAccelerators(now time.Time) FreeAccelerators {
	sum := FreeAccelerators{}
	for _, w := range c.workers {
		w.addFree(now, c.settings, &sum)
	}
	return sum
}

// addFree adds the worker's free accelerators to sum.
func (w *worker) addFree(now time.Time, s Settings, sum *FreeAccelerators) {
	free := max(0, w.freeCapacity().Accelerators)
	switch {
	case !w.acceptsWork(now, s), now.Before(w.fullUntil):
		sum.Unavailable += free
	case w.health.inQuarantine(now):
		sum.Quarantined += free
	case w.health.onProbation:
		sum.OnProbation += free
	case w.isolatesSuspect(now):
		sum.Isolated += free
	default:
		promised := min(free, w.promised)
		headroom := min(free-promised, w.headroomAccelerators())
		reserved := min(free-promised-headroom, w.reserved)
		sum.Promised += promised
		sum.Headroom += headroom
		sum.Reserved += reserved
		sum.Open += free - promised - headroom - reserved
	}
}

// headroomAccelerators returns the number of accelerators in the worker's urgent headroom.
func (w *worker) headroomAccelerators() int {
	sum := 0
	for _, h := range w.urgentHeadroom {
		sum += h.shape.Accelerators
	}
	return sum
}
