package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

const (
	// maxUnverified limits the instances that heartbeats have named and that have not answered a poll yet.
	maxUnverified = 8
	// maxEndedInstances limits the ended instances that are remembered. If a heartbeat names one that has been
	// dropped from this list, it is polled again.
	maxEndedInstances = 32
	// leaveValidity is the time after a leave message in which the end of the worker's process counts as a leave, not
	// as a crash.
	leaveValidity = 5 * time.Second
)

// Effects of a heartbeat.
const (
	// HeartbeatUnchanged means that the heartbeat changed nothing for the holder.
	HeartbeatUnchanged HeartbeatEffect = iota
	// HeartbeatChanged means that the heartbeat changed the report to the holder.
	HeartbeatChanged
	// HeartbeatUnverified means that the heartbeat names an instance that is not the current one. The agent has to
	// poll the worker to verify which instance is running.
	HeartbeatUnverified
	// HeartbeatLate means that a later heartbeat of the same instance has arrived before.
	HeartbeatLate
	// HeartbeatEndedInstance means that the heartbeat is of an ended instance.
	HeartbeatEndedInstance
	// HeartbeatOverLimit means that the heartbeat names another instance, and that maxUnverified instances already
	// wait for verification.
	HeartbeatOverLimit
)

type (
	// HeartbeatEffect is the effect of a heartbeat on the agent's state.
	HeartbeatEffect int

	// unverifiedInstance is an instance that a heartbeat has named and that has not answered a poll. It is kept until
	// a listing shows which instance is running: this may be the one, and the agent has already acknowledged the
	// draining notice in its heartbeat.
	unverifiedInstance struct {
		heartbeat Heartbeat
		// afterPoll is the number of the last poll that was sent before the heartbeat arrived. Answers to later polls
		// show whether the instance is running.
		afterPoll uint64
	}
)

// Acknowledges reports whether the agent acknowledges a heartbeat with this effect, so that the sender may rely on
// it.
func (e HeartbeatEffect) Acknowledges() bool {
	return e != HeartbeatEndedInstance && e != HeartbeatOverLimit
}

// Heartbeat applies a heartbeat of the worker. Sequence numbers are compared only within an instance: a worker that
// restarts under the same name counts from 1 again. If the agent mistook it for the previous instance, it would
// acknowledge the draining notice and ignore it as late: 80 of 400 tasks were started later than 0.4 s after such a
// notice, on 11 workers of which one ended every 2 s for 30 s. A heartbeat may also arrive after its instance has
// been replaced, so an instance becomes the current one only when it has answered a poll. If the agent trusted a late
// heartbeat, the holder would abandon all runs on the running worker.
func (c *Core) Heartbeat(heartbeat Heartbeat) HeartbeatEffect {
	effect := c.applyHeartbeat(heartbeat)
	if c.updateReady() && effect == HeartbeatUnchanged {
		return HeartbeatChanged
	}
	return effect
}

func (c *Core) applyHeartbeat(heartbeat Heartbeat) HeartbeatEffect {
	switch {
	case slices.Contains(c.endedInstances, heartbeat.Instance):
		return HeartbeatEndedInstance
	case !refersTo(heartbeat.Instance, c.heartbeat.Instance):
		return c.addUnverified(heartbeat)
	}
	if c.heartbeatReceived && heartbeat.Sequence <= c.heartbeat.Sequence {
		return HeartbeatLate
	}
	heartbeat.Instance = c.heartbeat.Instance
	changed := !c.heartbeatReceived || heartbeat.Draining != c.heartbeat.Draining || heartbeat.Capacity != c.heartbeat.Capacity || c.instanceEnded
	c.heartbeat = heartbeat
	c.heartbeatReceived = true
	if !changed {
		return HeartbeatUnchanged
	}
	c.reportNumber++
	return HeartbeatChanged
}

// refersTo reports whether an ID in a message refers to the current instance. An ID without a start time refers to
// any instance with its name.
func refersTo(id, current instance.ID) bool {
	return id == current || id.StartTime().IsZero() && id.Matches(current)
}

// addUnverified stores a heartbeat of an instance that has not answered a poll yet.
func (c *Core) addUnverified(heartbeat Heartbeat) HeartbeatEffect {
	for i, u := range c.unverified {
		if u.heartbeat.Instance == heartbeat.Instance {
			if heartbeat.Sequence <= u.heartbeat.Sequence {
				return HeartbeatLate
			}
			c.unverified[i].heartbeat = heartbeat
			return HeartbeatUnchanged
		}
	}
	if len(c.unverified) == maxUnverified {
		return HeartbeatOverLimit
	}
	c.unverified = append(c.unverified, unverifiedInstance{heartbeat: heartbeat, afterPoll: c.pollNumber})
	c.unverifiedPolledLast = false
	return HeartbeatUnverified
}

// dropUnverified records that unverified instances with the same name as id have ended if their heartbeats arrived
// before a poll was sent. The poll would have reached them, but another instance has answered it.
func (c *Core) dropUnverified(id instance.ID, number uint64) {
	c.unverified = slices.DeleteFunc(c.unverified, func(u unverifiedInstance) bool {
		if !u.heartbeat.Instance.SharesName(id) || u.afterPoll >= number {
			return false
		}
		c.addEndedInstance(u.heartbeat.Instance)
		return true
	})
}

// addEndedInstance records that an instance has ended.
func (c *Core) addEndedInstance(id instance.ID) {
	if id.IsZero() || slices.Contains(c.endedInstances, id) {
		return
	}
	c.endedInstances = append(c.endedInstances, id)
	if len(c.endedInstances) > maxEndedInstances {
		c.endedInstances = slices.Delete(c.endedInstances, 0, 1)
	}
}

// switchInstance makes the instance that a listing is from the current one, and clears the state of the previous
// instance. The capacity of the new instance is taken from its last unverified heartbeat, if any; otherwise it is
// unknown until the next one.
func (c *Core) switchInstance(first Listing) {
	id := first.Instance
	c.earlierLease = earlierLeaseAt(c.heartbeat.Instance, first)
	c.addEndedInstance(c.heartbeat.Instance)
	received := false
	next := Heartbeat{Instance: id, Rack: c.heartbeat.Rack, DataCentre: c.heartbeat.DataCentre}
	if i := slices.IndexFunc(c.unverified, func(u unverifiedInstance) bool { return refersTo(id, u.heartbeat.Instance) }); i >= 0 {
		next = c.unverified[i].heartbeat
		received = true
		c.unverified = slices.Delete(c.unverified, i, i+1)
	}
	c.endedInstances = slices.DeleteFunc(c.endedInstances, func(other instance.ID) bool { return other == next.Instance })
	c.heartbeat = next
	c.heartbeatReceived = received
	c.markAlive()
	c.silent = false
	c.refusals = 0
	c.listingNumber = 0
	c.listing = Listing{}
	c.extendedTo = 0
	c.committed = 0
	c.deliveredCommitted = 0
	c.leaveReceivedAt = time.Time{}
	c.startsBlockedUntil = c.lateForgetUntil
	c.earlierLeasesUntil = c.lateLeasesUntil
	c.lateLeaseEnd = 0
	c.answeredEpoch = 0
	c.epochAtSwitch = c.epoch
	c.reportNumber++
}

// ready reports whether the agent carries out starts: it knows the current instance, and at its last listing no poll for
// an earlier one could reach it any more.
func (c *Core) ready() bool {
	return c.knowsInstance() && !c.startsBlocked
}

// knowsInstance reports whether the agent knows the current instance. No instance may wait for verification, and the
// agent must know whether the current one drains.
func (c *Core) knowsInstance() bool {
	return c.noticesKnown() && len(c.unverified) == 0
}

// noticesKnown reports whether the agent has received a heartbeat that the current instance sent after the agent's start.
// Before that the instance may have told an earlier incarnation of the agent that it drains.
func (c *Core) noticesKnown() bool {
	return c.heartbeatReceived && !c.heartbeatPredatesAgent()
}

// updateReady changes the report if the value of ready has changed. Without this report the holder repeats its orders
// shortly after each refusal.
func (c *Core) updateReady() (changed bool) {
	if c.reportedReady == c.ready() {
		return false
	}
	c.reportedReady = !c.reportedReady
	c.reportNumber++
	return true
}

// heartbeatPredatesAgent reports whether the last heartbeat may have been sent before the agent started, by the
// worker's clock. An earlier incarnation of the agent may since have acknowledged a heartbeat with a draining notice.
// So the agent starts nothing until it receives a heartbeat that was sent after its own start. Without this check,
// the model test with restarting agents finds starts after an acknowledged notice.
func (c *Core) heartbeatPredatesAgent() bool {
	return c.listingNumber > 0 && c.heartbeat.Clock.before(c.workerClockAtStart)
}

// estimateClockAtStart lowers the upper bound of the reading of the worker's clock at the agent's start if the
// reading in a listing allows it. The clock was read after the poll was sent. It may run slow, and may have stopped
// while the VM was paused.
func (c *Core) estimateClockAtStart(reading time.Duration) {
	elapsed := time.Duration(float64(c.polledAt.Sub(c.startedAt)-max(0, c.totalPauseAtPoll)) * (1 - maxClockDrift))
	if c.listingNumber == 0 || reading-elapsed < c.workerClockAtStart {
		c.workerClockAtStart = reading - elapsed
	}
}

// HandleLeave applies a leave message, with which the worker reports that it ends. The message may arrive late, and may
// lack the start time of the instance. The worker's process goes on until the message is acknowledged, or longer if the
// acknowledgement is lost. So the message ends no run, and its lease is still extended: the agent records its time, and
// counts the next refused poll as the end of the listening alone, whether the message is of the current instance or only
// may be.
func (c *Core) HandleLeave(now time.Time, id instance.ID) {
	if id.Matches(c.heartbeat.Instance) {
		c.leaveReceivedAt = now
		if id == c.heartbeat.Instance && !c.heartbeat.Draining {
			c.heartbeat.Draining = true
			c.reportNumber++
		}
		return
	}
	c.leaveUnverified(id)
	c.updateReady()
}

// leaveUnverified applies a leave message of an unverified instance. It is kept as draining if it may be the one that runs:
// if no instance has answered yet, or calls for the current one may still reach it.
func (c *Core) leaveUnverified(id instance.ID) {
	i := slices.IndexFunc(c.unverified, func(u unverifiedInstance) bool { return u.heartbeat.Instance == id })
	switch {
	case i < 0:
	case c.heartbeat.Instance.IsZero() || id.SharesName(c.heartbeat.Instance):
		c.unverified[i].heartbeat.Draining = true
	default:
		c.unverified = slices.Delete(c.unverified, i, i+1)
	}
}

// markEnded records that nothing runs on the worker any more, and the reason. A more certain reason replaces
// Lapse_SILENT.
func (c *Core) markEnded(now time.Time, lapse poolpb.Lapse_Value) {
	if c.instanceEnded && (c.lapse != poolpb.Lapse_SILENT || lapse == poolpb.Lapse_SILENT) {
		return
	}
	c.instanceEnded = true
	c.endedAt = now
	c.lapse = lapse
	c.reportNumber++
}

// handleRefusal records that the worker's address has refused a connection. A worker that has said that it will end may
// stop listening before its runs end, which go on until their lease ends. So may one that said so to an earlier
// incarnation of the agent. Another one has ended if it refuses refusalsUntilEnded connections in a row.
func (c *Core) handleRefusal(now time.Time) {
	c.refusals++
	if !c.leaving && c.announcedEnd(now) {
		c.leaving = true
		c.reportNumber++
	}
	switch {
	case c.leaving || !c.noticesKnown():
		c.handleSilence(now)
	case c.refusals >= refusalsUntilEnded:
		c.markProcessEnded(now)
	}
}

// handleSilence records that the current instance gave no answer. Nothing runs on it any more once its lease has ended.
func (c *Core) handleSilence(now time.Time) {
	c.silent = true
	switch {
	case !c.workerLeaseLapsed(now):
	case c.leaving:
		c.markEnded(now, poolpb.Lapse_LEFT)
	default:
		c.markEnded(now, poolpb.Lapse_SILENT)
	}
}

// markProcessEnded records that the worker's process no longer exists. The worker has left if it said so before;
// otherwise it has crashed.
func (c *Core) markProcessEnded(now time.Time) {
	if c.leaving || c.announcedEnd(now) {
		c.markEnded(now, poolpb.Lapse_LEFT)
		return
	}
	c.markEnded(now, poolpb.Lapse_CRASHED)
}

// announcedEnd reports whether the worker is draining or has sent a leave message recently.
func (c *Core) announcedEnd(now time.Time) bool {
	return c.heartbeat.Draining || c.leftRecently(now)
}

// leftRecently reports whether a leave message that may be of the current instance arrived within leaveValidity.
func (c *Core) leftRecently(now time.Time) bool {
	return !c.leaveReceivedAt.IsZero() && now.Sub(c.leaveReceivedAt) < leaveValidity
}

// markAlive records that the current instance is running.
func (c *Core) markAlive() {
	c.instanceEnded = false
	c.lapse = poolpb.Lapse_UNKNOWN
}
