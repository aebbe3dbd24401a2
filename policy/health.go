package policy

import (
	"slices"
	"time"
)

const (
	// suspectFailures is the number of consecutive failures on a worker after which it can be
	// quarantined.
	suspectFailures = 3
	// minSuccessElsewhere is the least success rate of the same services on other workers: below it the
	// jobs are at fault, not the worker.
	minSuccessElsewhere = 0.5
)

// health is the state of a worker as derived from the outcomes of its runs.
type health struct {
	// failureStreak counts the failed runs since the last completed one.
	failureStreak int
	// failuresByService counts the failed runs of the streak by service.
	failuresByService map[string]int
	// suspect reports whether the last run failed here while the same services succeed elsewhere. Jobs
	// that are not repeatable are not placed on a suspect worker.
	suspect bool
	// quarantined reports whether the worker gets no work until quarantineEnd.
	quarantined   bool
	quarantineEnd time.Time
	// quarantineTime is the length of the last quarantine.
	quarantineTime time.Duration
}

// recordSuccess resets the failures after a completed run. A current quarantine still lasts until its
// end.
func (h *health) recordSuccess() {
	h.failureStreak = 0
	h.failuresByService = nil
	h.suspect = false
}

// serviceHealth counts the outcomes of the runs of a service in the whole hall.
type serviceHealth struct {
	succeeded, failed int
}

// recordOutcome updates the health of services and workers after a run.
func (h *Hall) recordOutcome(now time.Time, p *placedJob, outcome Outcome) {
	service := h.serviceHealth(p.job)
	switch outcome.Kind {
	case Completed:
		service.succeeded++
		for _, b := range p.bookings {
			b.worker.health.recordSuccess()
		}
	case Failed:
		service.failed++
		if w, ok := h.workers[outcome.Worker]; ok {
			h.recordFailure(now, w, p.job)
		}
	}
}

func serviceKey(j Job) string {
	return j.Workspace + "/" + j.Service
}

func (h *Hall) serviceHealth(j Job) *serviceHealth {
	key := serviceKey(j)
	s, ok := h.services[key]
	if !ok {
		s = &serviceHealth{}
		h.services[key] = s
	}
	return s
}

// recordFailure counts a failed run of a worker. It quarantines the worker after consecutive failures
// if runs of the same services succeed elsewhere.
func (h *Hall) recordFailure(now time.Time, w *worker, j Job) {
	w.health.failureStreak++
	if w.health.failuresByService == nil {
		w.health.failuresByService = map[string]int{}
	}
	w.health.failuresByService[serviceKey(j)]++
	w.health.suspect = h.settings.MaxQuarantinedPercent > 0 && h.succeedsElsewhere(w)
	if w.health.failureStreak < suspectFailures || w.health.quarantined || !w.health.suspect || !h.canQuarantine() {
		return
	}
	w.health.quarantineTime = min(max(h.settings.MinQuarantine, 2*w.health.quarantineTime), h.settings.MaxQuarantine)
	w.health.quarantined = true
	h.quarantined = append(h.quarantined, w)
	w.health.quarantineEnd = now.Add(w.health.quarantineTime)
	h.updateSchedulable(w)
}

// succeedsElsewhere reports whether the services that failed on a worker succeed on other workers.
func (h *Hall) succeedsElsewhere(w *worker) bool {
	succeeded, failed := 0, 0
	for key, here := range w.health.failuresByService {
		s := h.services[key]
		succeeded += s.succeeded
		failed += s.failed - here
	}
	return succeeded > 0 && float64(succeeded) >= minSuccessElsewhere*float64(succeeded+failed)
}

// canQuarantine reports whether one more worker may be quarantined.
func (h *Hall) canQuarantine() bool {
	limit := h.settings.MaxQuarantinedPercent
	count := len(h.quarantined) + 1
	return limit > 0 && (count*100 <= limit*len(h.workers) || count == 1)
}

// endQuarantines returns workers to service on probation when their quarantine is over: one more failed
// run starts a longer quarantine.
func (h *Hall) endQuarantines(now time.Time) {
	h.quarantined = slices.DeleteFunc(h.quarantined, func(w *worker) bool {
		if now.Before(w.health.quarantineEnd) {
			return false
		}
		w.health.quarantined = false
		w.health.failureStreak = suspectFailures - 1
		h.updateSchedulable(w)
		return true
	})
}

// Quarantined returns the names of the quarantined workers.
func (h *Hall) Quarantined() []string {
	var names []string
	for _, w := range h.quarantined {
		names = append(names, w.spec.Name)
	}
	return names
}
