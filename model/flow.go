package model

type (
	// edge says how much of a job may be done in a slot.
	edge struct {
		slot     int
		capacity int64
	}

	// flow is work of jobs, spread over slots.
	flow struct {
		left []int64
		jobs []flowJob
		// users are the jobs that have an edge to a slot.
		users [][]int
	}

	flowJob struct {
		edges []edge
		// used is how much of each edge is in use.
		used []int64
	}

	// step leads to a slot over an edge of a job. The job has left the slot before, which it comes from, -1 for the
	// job that is added.
	step struct {
		job, edge int
		from      int
	}
)

func newFlow(capacities []int64) *flow {
	return &flow{left: capacities, users: make([][]int, len(capacities))}
}

// add adds as much of a job's work as can be served beside what was added before, and returns how much that is.
func (f *flow) add(edges []edge, size int64) int64 {
	number := len(f.jobs)
	f.jobs = append(f.jobs, flowJob{edges: edges, used: make([]int64, len(edges))})
	for _, e := range edges {
		f.users[e.slot] = append(f.users[e.slot], number)
	}
	added := int64(0)
	for added < size {
		steps, last, ok := f.shortest(number)
		if !ok {
			break
		}
		added += f.push(steps, last, size-added)
	}
	return added
}

// shortest finds a shortest way from a job to a slot that has room, on which other jobs' work moves on to other slots.
func (f *flow) shortest(number int) (steps map[int]step, last int, ok bool) {
	steps = map[int]step{}
	// A job that was reached once has led to all slots that it can lead to.
	asked := make([]bool, len(f.jobs))
	asked[number] = true
	queue := f.reach(steps, number, -1, nil)
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if f.left[s] > 0 {
			return steps, s, true
		}
		for _, other := range f.users[s] {
			if !asked[other] && f.uses(other, s) > 0 {
				asked[other] = true
				queue = f.reach(steps, other, s, queue)
			}
		}
	}
	return nil, 0, false
}

// reach adds the slots to a queue that a job could do more work in, unless they were reached before.
func (f *flow) reach(steps map[int]step, number, from int, queue []int) []int {
	j := &f.jobs[number]
	for i, e := range j.edges {
		if _, reached := steps[e.slot]; reached || j.used[i] >= e.capacity {
			continue
		}
		steps[e.slot] = step{job: number, edge: i, from: from}
		queue = append(queue, e.slot)
	}
	return queue
}

// uses returns how much work of a job is in a slot.
func (f *flow) uses(number, s int) int64 {
	j := &f.jobs[number]
	return j.used[s-j.edges[0].slot] // its slots follow each other
}

// push moves as much work as goes along a way, up to an amount, and returns how much that was.
func (f *flow) push(steps map[int]step, last int, amount int64) int64 {
	amount = min(amount, f.left[last])
	for s := last; s >= 0; s = steps[s].from {
		at := steps[s]
		j := &f.jobs[at.job]
		amount = min(amount, j.edges[at.edge].capacity-j.used[at.edge])
		if at.from >= 0 {
			amount = min(amount, f.uses(at.job, at.from))
		}
	}
	f.left[last] -= amount
	for s := last; s >= 0; s = steps[s].from {
		at := steps[s]
		j := &f.jobs[at.job]
		j.used[at.edge] += amount
		if at.from >= 0 {
			j.used[at.from-j.edges[0].slot] -= amount
		}
	}
	return amount
}
