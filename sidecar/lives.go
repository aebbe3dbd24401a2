package sidecar

import (
	"slices"
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

const (
	// maxUnverified bounds the instances that heartbeats name and that were not asked yet.
	maxUnverified = 8
	// maxFormer bounds the instances of which it is kept that they are of the past. One that is kept no
	// more is asked again if a heartbeat names it.
	maxFormer = 32
	// leftWithin is for how long after a worker has said that it ended its end is put down to that.
	leftWithin = 5 * time.Second
)

// What a heartbeat means.
const (
	// BeatKnown tells nothing new.
	BeatKnown BeatEffect = iota
	// BeatNews tells something that the holder is to know.
	BeatNews
	// BeatUnverified names an instance that is to be asked whether it is the living one.
	BeatUnverified
	// BeatLate is older than another of the same instance, which has said what holds since.
	BeatLate
	// BeatFormer is of an instance that is over.
	BeatFormer
	// BeatCrowded names one instance more than are asked at a time.
	BeatCrowded
)

type (
	// BeatEffect says what a heartbeat means.
	BeatEffect int

	// unverified is an instance that a heartbeat names and that has not answered to its name. It is kept until a
	// listing tells which instance lives, for that may be this one, whose notice of leaving was
	// acknowledged with the heartbeat.
	unverified struct {
		beat Heartbeat
		// after is the number of the last listing that had been asked for before the heartbeat came.
		// Later ones tell whether it lives.
		after uint64
	}
)

// Acknowledges says whether the sender may count on what a heartbeat with this effect says.
func (e BeatEffect) Acknowledges() bool {
	return e != BeatFormer && e != BeatCrowded
}

// Heartbeat takes over what the worker says of itself. Sequences are compared within an instance alone: a worker that is
// back under its name counts from 1, and when it was taken for the one before, its notice of leaving was
// passed over and acknowledged; 80 of 400 tasks were started later than 0.4 s after one, on 11 workers of which one ended
// each 2 s for 30 s. A heartbeat may be late by more than an instance of its worker, so an instance counts
// once it has answered to its name: a late one that was taken at its word had the holder give up all that ran on
// the living worker.
func (c *Core) Heartbeat(beat Heartbeat) BeatEffect {
	effect := c.takeHeartbeat(beat)
	if c.noteSure() && effect == BeatKnown {
		return BeatNews
	}
	return effect
}

func (c *Core) takeHeartbeat(beat Heartbeat) BeatEffect {
	switch {
	case slices.Contains(c.former, beat.Instance):
		return BeatFormer
	case !isOf(beat.Instance, c.beat.Instance):
		return c.noteUnverified(beat)
	}
	if c.told && beat.Sequence <= c.beat.Sequence {
		return BeatLate
	}
	beat.Instance = c.beat.Instance
	news := !c.told || beat.Draining != c.beat.Draining || beat.Capacity != c.beat.Capacity || c.gone
	c.beat = beat
	c.told = true
	if !news {
		return BeatKnown
	}
	c.report++
	return BeatNews
}

// isOf says whether what names an instance is of the living one: a message without a start is of whichever lives
// under its name.
func isOf(said, living instance.ID) bool {
	return said == living || said.Born().IsZero() && said.Matches(living)
}

// noteUnverified keeps a heartbeat of an instance that has not answered yet.
func (c *Core) noteUnverified(beat Heartbeat) BeatEffect {
	for i, u := range c.unverified {
		if u.beat.Instance == beat.Instance {
			if beat.Sequence <= u.beat.Sequence {
				return BeatLate
			}
			c.unverified[i].beat = beat
			return BeatKnown
		}
	}
	if len(c.unverified) == maxUnverified {
		return BeatCrowded
	}
	c.unverified = append(c.unverified, unverified{beat: beat, after: c.asked})
	c.unverifiedAsked = false
	return BeatUnverified
}

// dropUnverified notes that those with an instance's name are over that were heard of before a question was asked
// which another instance has answered.
func (c *Core) dropUnverified(id instance.ID, number uint64) {
	c.unverified = slices.DeleteFunc(c.unverified, func(u unverified) bool {
		if !u.beat.Instance.SharesName(id) || u.after >= number {
			return false
		}
		c.noteFormer(u.beat.Instance)
		return true
	})
}

// noteFormer notes that an instance is over.
func (c *Core) noteFormer(id instance.ID) {
	if id.IsZero() || slices.Contains(c.former, id) {
		return
	}
	c.former = append(c.former, id)
	if len(c.former) > maxFormer {
		c.former = slices.Delete(c.former, 0, 1)
	}
}

// adopt notes that the worker is another instance than before, on which nothing runs that it does not list. What
// it has is known from its heartbeats, or else not before the next of them.
func (c *Core) adopt(id instance.ID) {
	c.noteFormer(c.beat.Instance)
	told := false
	next := Heartbeat{Instance: id, Rack: c.beat.Rack, DataCentre: c.beat.DataCentre}
	if i := slices.IndexFunc(c.unverified, func(u unverified) bool { return isOf(id, u.beat.Instance) }); i >= 0 {
		next = c.unverified[i].beat
		told = true
		c.unverified = slices.Delete(c.unverified, i, i+1)
	}
	c.former = slices.DeleteFunc(c.former, func(other instance.ID) bool { return other == next.Instance })
	c.beat = next
	c.told = told
	c.revive()
	c.silent = false
	c.refusals = 0
	c.listed = 0
	c.listing = Listing{}
	c.until = 0
	c.committed = 0
	c.toldCommitted = 0
	c.leftAt = time.Time{}
	c.exposedUntil = c.lateUntil
	c.report++
}

// sure says whether it is known who lives and what that has last said of itself.
func (c *Core) sure() bool {
	return c.told && len(c.unverified) == 0 && !c.fromBefore()
}

// noteSure has the holder told when it has become known who lives, or isn't any more. A holder that is not told gives its
// orders again within 10 ms of each refusal: 666 starts were refused on 55 workers after a loss of power.
func (c *Core) noteSure() (changed bool) {
	if c.saidSure == c.sure() {
		return false
	}
	c.saidSure = !c.saidSure
	c.report++
	return true
}

// fromBefore says whether the last heartbeat may have been sent before the agent started, by the worker's clock. A later
// one may have said to an earlier agent that the worker leaves, and was acknowledged: so nothing is started until one comes
// that this agent was the first to hear. In a model with agents that restart a start followed such a notice.
func (c *Core) fromBefore() bool {
	return c.beat.Clock > 0 && c.listed > 0 && c.beat.Clock < c.clockAtStart
}

// noteClock takes over what a listing tells of what the worker's clock read at the most when the agent started: it was read
// after the question was asked, and the clock may run slow.
func (c *Core) noteClock(reading time.Duration) {
	least := time.Duration(float64(c.askedAt.Sub(c.began)) * (1 - clockDrift))
	if c.listed == 0 || reading-least < c.clockAtStart {
		c.clockAtStart = reading - least
	}
}

// Leave notes that the worker says that it has ended. The word may come late, and names no start: it ends an instance
// whose name is its own, and has any other asked at once.
func (c *Core) Leave(now time.Time, id instance.ID) {
	switch {
	case id == c.beat.Instance:
		c.end(poolpb.Lapse_LEFT)
	case id.Matches(c.beat.Instance):
		c.leftAt = now
	default:
		c.unverified = slices.DeleteFunc(c.unverified, func(u unverified) bool { return u.beat.Instance == id })
	}
	c.noteSure()
}

// end notes that nothing runs on the worker any more, and how that is known. What was known only
// from its silence may become known for certain.
func (c *Core) end(lapse poolpb.Lapse_Value) {
	if c.gone && (c.lapse != poolpb.Lapse_SILENT || lapse == poolpb.Lapse_SILENT) {
		return
	}
	c.gone = true
	c.lapse = lapse
	c.report++
}

// endProcess notes that the worker's process is not there any more.
func (c *Core) endProcess(now time.Time) {
	if c.beat.Draining || c.saidToLeave(now) {
		c.end(poolpb.Lapse_LEFT)
		return
	}
	c.end(poolpb.Lapse_CRASHED)
}

// saidToLeave says whether the worker has said of late that it has ended.
func (c *Core) saidToLeave(now time.Time) bool {
	return !c.leftAt.IsZero() && now.Sub(c.leftAt) < leftWithin
}

// revive notes that the worker answers.
func (c *Core) revive() {
	c.gone = false
	c.lapse = poolpb.Lapse_UNKNOWN
}
