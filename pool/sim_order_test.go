package pool

import (
	"fmt"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

// deliver sends orders to a worker. Any instance of the worker carries them out, since an order names only the worker.
// Replies may be lost, and the starts of a lost reply may be carried out late.
func (sim *simulation) deliver(orders Orders) {
	if sim.orderDelay == 0 {
		sim.carryOutOrders(orders)
		return
	}
	sim.after(sim.orderDelay, sim.forCurrentHolder(func() { sim.carryOutOrders(orders) }))
}

// carryOutOrders carries out orders that have reached a worker, and returns the results to the holder.
func (sim *simulation) carryOutOrders(orders Orders) {
	f := sim.workerByName(orders.Agent)
	if f.down && !f.silent {
		sim.after(sim.refusalDelay, sim.forCurrentHolder(func() { sim.core.HandleResults(sim.now, orders, refuseAll(f.incarnation, orders)) }))
		return
	}
	if f.silent {
		sim.after(time.Second, sim.forCurrentHolder(func() { sim.core.HandleResults(sim.now, orders, Results{}) }))
		return
	}
	results := Results{Incarnation: f.incarnation, Listing: f.listing}
	for _, s := range orders.Stops {
		results.Stops = append(results.Stops, sim.stop(f, s))
	}
	lost := sim.losesReply()
	for _, s := range orders.Starts {
		if lost && sim.lateStartDelay != nil {
			f.unansweredStarts = append(f.unansweredStarts, s)
			agent, id := f.incarnation, f.instance
			sim.after(sim.lateStartDelay(), func() { sim.startLate(f, agent, id, s) })
			continue
		}
		results.Starts = append(results.Starts, sim.start(f, s))
	}
	if lost {
		results = Results{}
	}
	sim.after(sim.replyDelay, sim.forCurrentHolder(func() { sim.core.HandleResults(sim.now, orders, results) }))
}

// refuseAll returns the reply of an agent whose worker's address refuses connections.
func refuseAll(incarnation string, orders Orders) Results {
	results := Results{Incarnation: incarnation}
	for range orders.Starts {
		results.Starts = append(results.Starts, ResultRefused)
	}
	for range orders.Stops {
		results.Stops = append(results.Stops, ResultRefused)
	}
	return results
}

func (sim *simulation) start(f *fakeWorker, s Start) Result {
	key := runKey{s.Task, s.Run}
	if _, runs := f.running[key]; runs {
		return ResultOK
	}
	if s.Run <= f.highestRun[s.Task] {
		return ResultOldRun
	}
	if sim.now.After(f.leaseUntil) {
		return ResultLate
	}
	if f.rejectsLate {
		return ResultLate
	}
	if f.notReady {
		return ResultOtherInstance
	}
	shape := sim.jobs[s.Task.Job].Steps[s.Task.Step].Demand()
	if f.subtractRunning(sim, f.reportedCapacity).FitCount(shape) < 1 {
		sim.t.Errorf("%s: %v is ordered to %s, which reported no free capacity for it", sim.now, s.Task, f.name)
		return ResultNoCapacity
	}
	if f.freeCapacity(sim).FitCount(shape) < 1 {
		sim.capacityRefusals++ // the worker has shrunk and the holder has not received the new capacity yet
		return ResultNoCapacity
	}
	if sim.requiresTicket(sim.jobs[s.Task.Job]) && sim.now.After(sim.tickets[s.Ticket]) {
		return ResultTicketRejected
	}
	sim.checkStart(f, s)
	sim.starts++
	f.running[key] = &fakeRun{acceptedAt: sim.now, startedAt: sim.now, work: f.duration(sim.jobs[s.Task.Job].Steps[s.Task.Step].Estimate), resumedFrom: s.Saved}
	return ResultOK
}

// requiresTicket reports whether workers require a ticket for a job's tasks: by the policy that its queue has in force, if
// the test has set one, or by the job's terms.
func (sim *simulation) requiresTicket(j job.Job) bool {
	if required, known := sim.policyInForce[j.Queue]; known {
		return required
	}
	return j.Terms.Advised
}

// startLate carries out a start whose reply was lost, if the worker is up and has the capacity. It may outlive the agent
// that sent it, but a start that outlives both that agent and the worker's instance is dropped.
func (sim *simulation) startLate(f *fakeWorker, agent string, id instance.ID, s Start) {
	shape := sim.jobs[s.Task.Job].Steps[s.Task.Step].Demand()
	if f.down || f.silent || f.incarnation != agent && f.instance != id || f.freeCapacity(sim).FitCount(shape) < 1 {
		return
	}
	sim.start(f, s)
}

// saveProgress returns a new token of a run's progress, or "" for steps that save none.
func (sim *simulation) saveProgress(key runKey) string {
	j := sim.jobs[key.task.Job]
	if !j.Steps[key.task.Step].Checkpoint {
		return ""
	}
	token := fmt.Sprintf("%v at %d", key.task, sim.now.UnixMilli())
	sim.tokenOwners[token] = map[job.TaskID]bool{progressOwner(j, key.task): true}
	return token
}
