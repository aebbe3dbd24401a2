package pool

// fitCounter counts how many of a group's tasks fit into an amount of capacity, in total or by rack.
type fitCounter struct {
	pass    *pass
	group   *group
	free    capacityBySlot
	byRack  bool
	counts  []int
	totals  []int
	largest int
}

func (p *pass) newFitCounter(g *group, d *demandState, free capacityBySlot) *fitCounter {
	c := &fitCounter{pass: p, group: g, free: free, byRack: d.oneRack, counts: make([]int, len(p.workers))}
	c.totals = make([]int, 1)
	if c.byRack {
		c.totals = make([]int, len(p.racks))
	}
	for _, w := range p.workers {
		c.update(w)
	}
	return c
}

// update recounts a worker whose capacity has grown.
func (c *fitCounter) update(w *worker) {
	index := 0
	if c.byRack {
		index = c.pass.rackOf[w.slot]
	}
	next := c.pass.tasksThatFit(c.group, w, c.free[w.slot])
	c.totals[index] += next - c.counts[w.slot]
	c.counts[w.slot] = next
	c.largest = max(c.largest, c.totals[index])
}

// fits reports whether the whole group fits.
func (c *fitCounter) fits() bool {
	return c.largest >= c.group.size
}
