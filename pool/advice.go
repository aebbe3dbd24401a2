package pool

import (
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
)

const (
	// ticketMargin is how much longer a ticket must be valid when a task is placed with it. The commit and the
	// order take about 30 ms, and several times that when the store is slow.
	ticketMargin = 400 * time.Millisecond
	// learnedPolicyPeriod is how long a job counts as advised after a worker rejected a start without a ticket. A
	// holder is at most that far behind the worker's configuration.
	learnedPolicyPeriod = 5 * time.Second
	// adviceRetryDelay is the time without requests after the advice service did not reply to one.
	adviceRetryDelay = 300 * time.Millisecond
)

type (
	// AdviceRequest asks which workers may run a step under the policy of its queue.
	AdviceRequest struct {
		// Step is any task of the step.
		Step job.TaskID
		// Workers lists the worker instances that the request is about.
		Workers []instance.ID
	}

	// AdviceReply holds a ticket for each worker that may run the step.
	AdviceReply struct {
		// Tickets holds the tickets by worker instance.
		Tickets map[instance.ID]string
		// Valid is how long the tickets are valid.
		Valid time.Duration
	}

	// stepAdvice caches the advice for a step. Whether a worker may run the step never changes, but tickets
	// expire.
	stepAdvice struct {
		asked   map[instance.ID]bool
		tickets map[instance.ID]ticket
		// requestedAt is the time of the last request.
		requestedAt time.Time
	}

	// ticket permits an instance of a worker to start tasks of a step.
	ticket struct {
		text  string
		until time.Time
	}
)

// validForPlacement reports whether the ticket remains valid for long enough to place a task.
func (t ticket) validForPlacement(now time.Time) bool {
	return now.Add(ticketMargin).Before(t.until)
}

// ticket returns the ticket for a step on a worker instance, or the zero value if there is none.
func (r *round) ticket(step int, id instance.ID) ticket {
	a := r.advice[step]
	if a == nil {
		return ticket{}
	}
	return a.tickets[id]
}

// dropTicket drops a ticket that the worker rejected, so that a new one is requested.
func (r *round) dropTicket(step int, id instance.ID) {
	if a := r.advice[step]; a != nil {
		delete(a.tickets, id)
		delete(a.asked, id)
	}
}

// adviceOf returns the cached advice for a step, and creates it if needed.
func (r *round) adviceOf(step int) *stepAdvice {
	if r.advice == nil {
		r.advice = map[int]*stepAdvice{}
	}
	a, known := r.advice[step]
	if !known {
		a = &stepAdvice{asked: map[instance.ID]bool{}, tickets: map[instance.ID]ticket{}}
		r.advice[step] = a
	}
	return a
}

// applyPolicy makes a job follow the policy that its queue has in the active configuration. A job whose queue is not
// configured any more keeps the policy under which it was accepted.
func (c *Core) applyPolicy(j *jobState) {
	advised := j.job.Terms.Advised
	if queue, known := c.catalog.Queue(j.job.Queue); known {
		advised = queue.Terms.Advised
	}
	c.everAdvised = c.everAdvised || advised
	if advised == j.advised {
		return
	}
	j.advised, j.ticketsNeededUntil = advised, time.Time{}
	for _, r := range j.rounds {
		r.advice = nil // it is of another policy
	}
}

// needsTicket reports whether starts of a job need a ticket of the advice service.
func (c *Core) needsTicket(now time.Time, j *jobState) bool {
	return j.advised || now.Before(j.ticketsNeededUntil)
}

// HandleAdviceReply processes the reply of the advice service; ok is false if the service did not reply.
func (c *Core) HandleAdviceReply(now time.Time, request AdviceRequest, reply AdviceReply, ok bool) {
	c.adviceInFlight = false
	if !ok {
		c.nextAdviceAt = now.Add(adviceRetryDelay)
		return
	}
	j, known := c.jobs[request.Step.Job]
	if !known {
		return
	}
	r := j.findRound(request.Step.Round)
	if r == nil {
		return
	}
	a := r.adviceOf(request.Step.Step)
	for _, id := range request.Workers {
		a.asked[id] = true
		delete(a.tickets, id)
		if text, may := reply.Tickets[id]; may {
			a.tickets[id] = ticket{text: text, until: now.Add(reply.Valid)}
		}
	}
	c.capacityChanged = true
}
