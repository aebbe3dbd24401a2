package sidecar

import (
	"fmt"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// maxLoggedRuns limits the runs that a line names.
const maxLoggedRuns = 16

// handledOrder describes, for the log, an order and what became of it.
type handledOrder struct {
	order  string
	task   string
	run    int32
	epoch  uint64
	result poolpb.OrderResult_Value
	err    error
	// leaseEnd is the lease end, by the worker's clock, that a start gave the worker; 0 if it gave none.
	leaseEnd time.Duration
	// sentAt is when the order was sent to the worker; zero if it was not.
	sentAt time.Time
}

// runName returns the name of a run for the log: the task as the worker names it, and the number of the run.
func runName(task string, run int32) string {
	return task + "/" + strconv.Itoa(int(run))
}

// runNames returns the names of the running tasks of a listing, at most maxLoggedRuns.
func (l Listing) runNames() []string {
	names := []string{}
	for _, r := range l.Running[:min(maxLoggedRuns, len(l.Running))] {
		names = append(names, runName(r.GetTask(), r.GetRun()))
	}
	return names
}

// unlistedStarts returns the names of runs whose starts were sent and that no listing has contained, at most
// maxLoggedRuns. The worker may have refused some of them.
func (c *Core) unlistedStarts() []string {
	names := []string{}
	for _, s := range c.pendingStarts {
		if !s.listed && len(names) < maxLoggedRuns {
			names = append(names, runName(s.task, s.run))
		}
	}
	return names
}

// nameOfLease returns a word for what is known of earlier leases.
func nameOfLease(l earlierLease) string {
	switch l.(type) {
	case limitedLease:
		return "limited"
	case noLease:
		return "none"
	default:
		return "unknown"
	}
}

// logOrder counts and logs an order that was handled.
func (a *Agent) logOrder(o handledOrder) {
	a.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_sidecar_orders_total{order=%q,result=%q}`, o.order, o.result)).Inc()
	entry := a.logger.Info()
	if o.err != nil {
		entry = a.logger.Warn().Err(o.err)
	}
	entry = entry.Str("order", o.order).Str("task", o.task).Int32("run", o.run).Uint64("epoch", o.epoch).Str("result", o.result.String())
	if o.leaseEnd > 0 {
		entry = entry.Int64("due_ms", o.leaseEnd.Milliseconds())
	}
	if !o.sentAt.IsZero() {
		entry = entry.Int64("took_ms", a.clock.Now().Sub(o.sentAt).Milliseconds())
	}
	entry.Msg("agent: order handled")
}

// logEnds logs the ended runs of the last listing that were not in the listings before it. The lock must be held.
func (a *Agent) logEnds() {
	for _, e := range a.core.listing.Ended {
		if e.GetNumber() <= a.loggedEnd {
			continue
		}
		a.loggedEnd = e.GetNumber()
		a.logger.Info().Str("task", e.GetTask()).Int32("run", e.GetRun()).Str("how", e.GetKind().String()).Uint64("number", e.GetNumber()).Msg("agent: run ended")
	}
}

// logInstanceChange counts and logs that another instance than the one before answers. The lock must be held.
func (a *Agent) logInstanceChange(now time.Time, previous Heartbeat, previousListing Listing) {
	a.metrics.GetOrCreateCounter("hollyfork_sidecar_instances_total").Inc()
	current, listing := a.core.heartbeat.Instance, a.core.listing
	a.logger.Info().Str("instance", current.String()).Time("born", current.StartTime()).Str("former", previous.Instance.String()).
		Bool("former_draining", previous.Draining).Str("incarnation", a.core.incarnation).Dur("agent_age", now.Sub(a.core.startedAt)).
		Int("running", len(listing.Running)).Int("ended", len(listing.Ended)).Strs("runs", listing.runNames()).Strs("former_runs", previousListing.runNames()).
		Msg("agent: another instance of the worker answers")
}

// logLease adds to a log entry what the agent knows of its worker's lease after a poll that was not answered. The lock
// must be held.
func (a *Agent) logLease(entry *log.Entry, now time.Time, poll PollRequest) *log.Entry {
	lease := a.core.leaseSummary(now)
	return entry.Str("instance", poll.Instance.String()).Dur("agent_age", lease.agentAge).Dur("listed_ago", lease.sinceListing).
		Dur("extended_by", lease.extendedBy).Dur("poll_extends_by", a.core.extensionOf(poll)).Str("earlier_lease", lease.earlier).Dur("lease_for", lease.longest).
		Int("running", len(a.core.listing.Running))
}

// logLapse counts and logs that all runs of the worker are considered ended. The lock must be held.
func (a *Agent) logLapse(now time.Time, poll PollRequest, err error) {
	a.metrics.GetOrCreateCounter(fmt.Sprintf(`hollyfork_sidecar_lapses_total{reason=%q}`, a.core.lapse)).Inc()
	a.logLease(a.logger.Warn().Err(err), now, poll).Str("reason", a.core.lapse.String()).Dur("silent_for", now.Sub(a.silentSince)).
		Dur("agent_lease_left", a.core.leaseRemaining(now)).Str("incarnation", a.core.incarnation).Uint64("epoch", a.core.epoch).
		Strs("runs", a.core.listing.runNames()).Strs("unlisted_starts", a.core.unlistedStarts()).Msg("agent: all runs of the worker are considered ended")
}

// logLeave logs a leave message of the worker. The lock must be held.
func (a *Agent) logLeave(id instance.ID) {
	a.logger.Info().Str("instance", id.String()).Str("known_instance", a.core.heartbeat.Instance.String()).Strs("runs", a.core.listing.runNames()).
		Strs("unlisted_starts", a.core.unlistedStarts()).Msg("agent: the worker says that it leaves")
}

// logEarlierHolder logs that the call of a holder of an earlier epoch was refused, once for each such holder in turn.
// The lock must be held.
func (a *Agent) logEarlierHolder(epoch uint64, call string) {
	if epoch == a.refusedEpoch {
		return
	}
	a.refusedEpoch = epoch
	a.logger.Warn().Uint64("epoch", epoch).Uint64("known_epoch", a.core.epoch).Str("call", call).Msg("agent: an earlier holder was refused")
}
