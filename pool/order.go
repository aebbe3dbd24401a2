package pool

import (
	"time"

	"hollyfork.example/hollyfork/job"
)

const (
	// confirmedStopInterval is the interval between stops that the worker has confirmed while the listing that shows their
	// effect is missing. It exceeds the time of two polls: an order delays the agent's next report until a poll after it.
	confirmedStopInterval = time.Second
	// maxOrdersBytes is the maximum size of the orders that are sent to an agent in one message, in bytes. A quarter of
	// what an agent accepts leaves room for the rest of the message and for renewals on the same connection.
	maxOrdersBytes = 1 << 20
	// orderBytes is the maximum encoded size of an order without its texts, in bytes.
	orderBytes = 64
)

// TakeOrders returns the orders that are due, grouped by worker. The orders for one worker are divided so that each part
// can be sent in one message.
func (c *Core) TakeOrders(now time.Time) []Orders {
	if !c.ordersDue {
		return nil
	}
	c.ordersDue = false
	var list []Orders
	startsEnd := c.startsDeadline()
	orphans := c.tasksWithOrphans()
	for _, w := range c.workers {
		// Until the worker has sent a listing, runs that an earlier holder started there are not known.
		if w.instance.IsZero() || w.listing == 0 || now.Sub(w.lastReplyAt) > c.settings.FreshFor {
			continue
		}
		c.abortOvercommitted(now, w)
		orders := Orders{Agent: w.agent, Instance: w.instance, Capacity: w.capacity, Grant: w.grant, StartsFor: c.startsFor(w, startsEnd)}
		for _, m := range w.members {
			c.orderMember(now, m, &orders, orphans)
		}
		c.orderOrphanStops(now, w, &orders)
		list = append(list, orders.divide(maxOrdersBytes)...)
	}
	return list
}

// divide returns the orders in parts of at most maxBytes each, or of one start. The stops are in the first part.
func (o Orders) divide(maxBytes int) []Orders {
	if len(o.Starts)+len(o.Stops) == 0 {
		return nil
	}
	starts, size := o.Starts, len(o.Stops)*orderBytes
	o.Starts = nil
	parts := []Orders{o}
	o.Stops = nil
	for _, s := range starts {
		if size > 0 && size+s.bytes() > maxBytes {
			parts, size = append(parts, o), 0
		}
		last := &parts[len(parts)-1]
		last.Starts = append(last.Starts, s)
		size += s.bytes()
	}
	return parts
}

// bytes returns the size that the start takes in a message at most.
func (s Start) bytes() int {
	return orderBytes + len(s.Spec) + len(s.Saved) + len(s.Ticket)
}

// orderMember appends the order that a member needs, if any. A task with an orphan run is not started before that has
// ended.
func (c *Core) orderMember(now time.Time, m *member, orders *Orders, orphans map[job.TaskID]bool) {
	if m.orderInFlight || now.Before(m.nextSendAt) {
		return
	}
	switch m.phase {
	case memberOrdered:
		if m.worker.evacuated || orders.StartsFor <= 0 || !m.maybeSent && orphans[m.task()] {
			return
		}
		m.sendCount++
		m.starts.sent(now)
		m.maybeSent = true
		m.startDeadline = m.worker.leaseEnd
		m.orderInFlight = true
		orders.Starts = append(orders.Starts, Start{
			Task:  m.task(),
			Run:   m.group.run,
			Spec:  m.group.job.job.Spec,
			Saved: m.group.resumeFrom,

			Ticket: m.group.round.ticket(m.group.step, m.instance).text,
		})
	case memberStopping:
		if m.stopConfirmed && m.missingFrom == 0 {
			return // The listing without the run is still to come.
		}
		m.orderInFlight = true
		orders.Stops = append(orders.Stops, Stop{Task: m.task(), Run: m.group.run})
	}
}

func (c *Core) orderOrphanStops(now time.Time, w *worker, orders *Orders) {
	for key, o := range w.orphans {
		if now.Before(o.sendAt) {
			continue
		}
		o.sendAt = now.Add(c.settings.ResendAfter)
		orders.Stops = append(orders.Stops, Stop{Task: key.task, Run: key.run})
	}
}

// HandleResults processes the results of orders. The outcome of an order without a result counts as unknown. So does
// that of an order that was given to, or answered by, another incarnation of the agent than the known one: its listing
// number is not comparable with those of reports. As evidence of starts, any answer says what its own call did.
func (c *Core) HandleResults(now time.Time, orders Orders, results Results) {
	for i, start := range orders.Starts {
		c.recordAnswer(now, orders.Agent, start, resultAt(results.Starts, i))
	}
	if w, known := c.workers[orders.Agent]; known && !orders.answeredBy(w.incarnation, results) {
		results = Results{}
	}
	for i, start := range orders.Starts {
		result := resultAt(results.Starts, i)
		m := c.findMember(orders.Agent, start.Task, start.Run)
		if m == nil {
			continue
		}
		m.orderInFlight = false
		if m.revoked {
			c.revokedResult(now, m, result)
			continue
		}
		c.startResult(now, m, result, results.Listing)
	}
	for i, stop := range orders.Stops {
		m := c.findMember(orders.Agent, stop.Task, stop.Run)
		if m == nil {
			continue
		}
		m.orderInFlight = false
		m.nextSendAt = now.Add(c.settings.ResendAfter)
		// The next instance does not know of stops that the ended instance confirmed.
		if m.phase == memberStopping && orders.Instance == m.instance && resultAt(results.Stops, i) == ResultOK {
			if !m.stopConfirmed {
				m.setFloor(results.Listing)
			}
			m.stopConfirmed = true
			m.nextSendAt = now.Add(confirmedStopInterval)
		}
	}
}

// answeredBy reports whether an incarnation of the agent was given the orders and answered them. Agents of earlier releases
// do not name themselves in answers.
func (o Orders) answeredBy(incarnation string, results Results) bool {
	return o.Grant.Incarnation == incarnation && (results.Incarnation == incarnation || results.Incarnation == "")
}

// mayRun reports whether the run may exist on the worker after a start with this result.
func (r Result) mayRun() bool {
	return r == ResultOK || r == ResultUnknown || r == ResultOldRun
}

func resultAt(results []Result, i int) Result {
	if i >= len(results) {
		return ResultUnknown
	}
	return results[i]
}

// findMember returns the member that an order was for, or nil if it is gone.
func (c *Core) findMember(agent string, task job.TaskID, run int) *member {
	j, known := c.jobs[task.Job]
	if !known {
		return nil
	}
	g := j.findGroup(task)
	if g == nil || g.run != run {
		return nil
	}
	m := g.findMember(task.Index)
	if m == nil || m.phase == memberGone || m.worker.agent != agent {
		return nil
	}
	return m
}

// revokedResult processes the result of a start whose run was revoked in the meantime: if the start was not
// carried out, no stop is needed.
func (c *Core) revokedResult(now time.Time, m *member, result Result) {
	if !result.mayRun() && result != ResultLate && m.sendCount == 1 && !m.restored {
		c.releaseMember(now, m)
	}
}

// startResult processes the result of a start.
func (c *Core) startResult(now time.Time, m *member, result Result, listing uint64) {
	switch result {
	case ResultOK:
		m.setFloor(listing)
		if m.phase == memberOrdered {
			c.memberStarted(now, m)
		}
	case ResultUnknown, ResultFenced, ResultLate:
		m.nextSendAt = now.Add(c.settings.ResendAfter)
	case ResultOldRun:
		c.startRejected(now, m, result, false)
	default:
		c.startRejected(now, m, result, m.sendCount == 1 && !m.restored)
	}
}

// startRejected aborts a run that a worker did not start. Unless it is certain that the run does not exist and
// will not start later, a stop is sent to the worker too.
func (c *Core) startRejected(now time.Time, m *member, result Result, certain bool) {
	if m.phase != memberOrdered {
		return
	}
	g := m.group
	if g.recordRejection(now, result); g.rejections.notable() {
		c.emit(m.event(EventStartRejected, g.rejections.String()))
	}
	switch result {
	case ResultRefused:
		c.quarantine(now, m.worker, c.settings.RetryRefused, "it refuses starts")
	case ResultTicketRejected:
		if !c.needsTicket(now, g.job) {
			g.job.ticketsNeededUntil, c.everAdvised = now.Add(learnedPolicyPeriod), true
		}
		g.round.dropTicket(g.step, m.instance)
	case ResultNoCapacity:
		m.worker.fullUntil = now.Add(c.settings.RetryRefused)
		g.avoid(m.worker, m.worker.fullUntil)
	case ResultOldRun, ResultInvalid:
		g.avoid(m.worker, now.Add(c.settings.RetryRefused))
	}
	if certain {
		c.releaseMember(now, m)
	}
	if g.placed() {
		c.abort(now, g)
	}
}

var resultNames = map[Result]string{
	ResultUnknown:        "no answer",
	ResultOK:             "started",
	ResultNoCapacity:     "no room",
	ResultOldRun:         "the run is old",
	ResultLate:           "the lease had ended",
	ResultFenced:         "a later holder was met",
	ResultOtherInstance:  "another instance lives, or its agent is not sure which",
	ResultRefused:        "the worker is unwell",
	ResultDraining:       "the worker is draining",
	ResultInvalid:        "the order was not understood",
	ResultTicketRejected: "the queue's policy does not let it run there",
}
