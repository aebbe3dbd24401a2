package model

type (
	// edge limits the amount of a job's work in a slot.
	edge struct {
		slot     int
		capacity int64
	}

	// flow assigns work of jobs to slots.
	flow struct {
		// free is the remaining capacity of each slot.
		free []int64
		jobs []flowJob
		// jobsBySlot lists the jobs that have an edge to each slot.
		jobsBySlot [][]int
	}

	flowJob struct {
		edges []edge
		// placed is the amount of work on each edge.
		placed []int64
	}

	// pathStep is a step of an augmenting path, which moves work of a job over one of its edges to a slot. The work
	// comes from the slot previous. If previous is -1, it is new work of the added job.
	pathStep struct {
		job, edge int
		previous  int
	}
)

func newFlow(capacities []int64) *flow {
	return &flow{free: capacities, jobsBySlot: make([][]int, len(capacities))}
}

// add assigns as much of a job's work as fits beside the work of the jobs added earlier, and returns the amount.
// Work of these jobs may move between slots but is never dropped.
func (f *flow) add(edges []edge, size int64) int64 {
	number := len(f.jobs)
	f.jobs = append(f.jobs, flowJob{edges: edges, placed: make([]int64, len(edges))})
	for _, e := range edges {
		f.jobsBySlot[e.slot] = append(f.jobsBySlot[e.slot], number)
	}
	added := int64(0)
	for added < size {
		steps, last, ok := f.shortestPath(number)
		if !ok {
			break
		}
		added += f.augment(steps, last, size-added)
	}
	return added
}

// shortestPath finds a shortest augmenting path from a job to a slot with free capacity. Along the path, work of
// other jobs moves to other slots.
func (f *flow) shortestPath(number int) (steps map[int]pathStep, last int, ok bool) {
	steps = map[int]pathStep{}
	// One visit of a job reaches all slots to which its work can move.
	visited := make([]bool, len(f.jobs))
	visited[number] = true
	queue := f.expand(steps, number, -1, nil)
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if f.free[s] > 0 {
			return steps, s, true
		}
		for _, other := range f.jobsBySlot[s] {
			if !visited[other] && f.placedIn(other, s) > 0 {
				visited[other] = true
				queue = f.expand(steps, other, s, queue)
			}
		}
	}
	return nil, 0, false
}

// expand appends to a queue the slots that can take more work of a job, except those reached before.
func (f *flow) expand(steps map[int]pathStep, number, previous int, queue []int) []int {
	j := &f.jobs[number]
	for i, e := range j.edges {
		if _, reached := steps[e.slot]; reached || j.placed[i] >= e.capacity {
			continue
		}
		steps[e.slot] = pathStep{job: number, edge: i, previous: previous}
		queue = append(queue, e.slot)
	}
	return queue
}

// placedIn returns the amount of a job's work in a slot.
func (f *flow) placedIn(number, s int) int64 {
	j := &f.jobs[number]
	return j.placed[s-j.edges[0].slot] // the slots of a job are consecutive
}

// augment moves as much work as possible along a path, up to an amount, and returns the amount moved.
func (f *flow) augment(steps map[int]pathStep, last int, amount int64) int64 {
	amount = min(amount, f.free[last])
	for s := last; s >= 0; s = steps[s].previous {
		step := steps[s]
		j := &f.jobs[step.job]
		amount = min(amount, j.edges[step.edge].capacity-j.placed[step.edge])
		if step.previous >= 0 {
			amount = min(amount, f.placedIn(step.job, step.previous))
		}
	}
	f.free[last] -= amount
	for s := last; s >= 0; s = steps[s].previous {
		step := steps[s]
		j := &f.jobs[step.job]
		j.placed[step.edge] += amount
		if step.previous >= 0 {
			j.placed[step.previous-j.edges[0].slot] -= amount
		}
	}
	return amount
}
