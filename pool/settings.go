package pool

import "time"

// Settings are the times and limits of a pool's decisions. Create them with
// DefaultSettings and change what differs.
type Settings struct {
	// AgentLease is how long an agent keeps its worker's lease up without word from the
	// holder. It is below the longest lease that workers take (6 s on the users'
	// platform), and above the time that a change of holder takes.
	AgentLease time.Duration
	// ClockDrift is the share by which a worker's clock may run slow; the platform
	// promises 2%.
	ClockDrift float64
	// LeaseMargin is added to what a lease can last, for rounding and late timers.
	LeaseMargin time.Duration
	// FreshFor is how long a worker may be given work after the last word of its agent:
	// a bit over two renewals.
	FreshFor time.Duration
	// RenewalSlack is what FreshFor is longer than two renewals.
	RenewalSlack time.Duration
	// ResendAfter is how long an order without an answer is left before it is sent again. The
	// agent has given it up by then, and orders can be repeated.
	ResendAfter time.Duration
	// StartWithin is how long a run may take until all its tasks were started; it is
	// below the time after which a worker gives up a gang that is not complete (3 s).
	StartWithin time.Duration
	// StopLinger is how long an ended gang's other tasks may take to end by themselves.
	StopLinger time.Duration
	// StallAfter is how long a task's progress may stand still before it is started
	// elsewhere. Progress comes in hundredths twice a second.
	StallAfter time.Duration
	// AsideAfter is the number of different jobs that must fail in a row on a worker
	// before it is set aside, and AsideFor for how long.
	AsideAfter int
	AsideFor   time.Duration
	// RelaxAfter is how long a group waits for workers that it prefers while there is room on
	// others; for ones that are known to be bad, and to leave its rack, it waits twice as long.
	// That is below the 3 s for which a job may have nothing running beside free workers, with
	// 1.5 s to spare until its last end is known and its next start carried out: with 0.9 s here
	// the longest time was 2.5 s (400 jobs as processes, on a busy VM).
	RelaxAfter time.Duration
	// RetryRefused is how long a worker that refused a start gets no other.
	RetryRefused time.Duration
	// FarFactor is how many times longer a gang spread over racks, or a task away from
	// its data, takes.
	FarFactor float64
	// DisplaceFactor is how much work of others may be lost for urgent work beyond a
	// guarantee, in parts of that work itself.
	DisplaceFactor float64
	// LeastPaceSpread is by how much workers have to differ in the time that they take for it to matter, a
	// standard deviation of logarithms: below a tenth a worker that packs better is worth more.
	LeastPaceSpread float64
	// QuickReserve is how many times the room that urgent work has used lately other work leaves free on workers that
	// are not slower than usual, while there is room on slower ones.
	QuickReserve float64
	// RetainFor is how long room that urgent work has left is kept for other urgent work:
	// about as long as an urgent task runs on average. Given to others at once it would be
	// taken back by displacing them.
	RetainFor time.Duration
	// EvacuateWithin is how long after an evacuation was requested a task may still be started
	// in its data centre, as the operator states it; 0 when nothing is stated.
	EvacuateWithin time.Duration
	// ForgetAfter is how long an agent may be silent before its row is deleted. One that
	// lives makes itself known again when no holder has called it for 10 s.
	ForgetAfter time.Duration
	// KeepEnded is how long the state of an ended job is kept.
	KeepEnded time.Duration
}

// DefaultSettings returns the settings for the users' platform.
func DefaultSettings() Settings {
	return Settings{
		AgentLease:     4500 * time.Millisecond,
		ClockDrift:     0.02,
		LeaseMargin:    150 * time.Millisecond,
		FreshFor:       1500 * time.Millisecond,
		RenewalSlack:   500 * time.Millisecond,
		ResendAfter:    100 * time.Millisecond,
		StartWithin:    2 * time.Second,
		StopLinger:     time.Second,
		StallAfter:     2500 * time.Millisecond,
		AsideAfter:     2,
		AsideFor:       4 * time.Second,
		RelaxAfter:     750 * time.Millisecond,
		RetryRefused:   time.Second,
		FarFactor:      3,
		DisplaceFactor: 1.5,

		LeastPaceSpread: 0.1,
		QuickReserve:    8,

		RetainFor:   2500 * time.Millisecond,
		ForgetAfter: 2 * time.Minute,
		KeepEnded:   10 * time.Minute,
	}
}

// leaseEnd is when all that an agent's worker runs has surely lapsed, if the agent's
// last word came at a time.
func (s Settings) leaseEnd(heard time.Time) time.Time {
	longest := time.Duration(float64(s.AgentLease) / (1 - s.ClockDrift))
	return heard.Add(longest).Add(s.LeaseMargin)
}
