package pool

import "time"

// Settings are the durations and limits of a pool's decisions. Create them with DefaultSettings and
// change the values that differ.
type Settings struct {
	// AgentLease is how long an agent renews its worker's lease without a call from the holder. It is
	// below the longest lease that workers accept (6 s on the platform), and above the time that a
	// change of holder takes. It is the same in all releases: a restarted agent takes the length that its
	// holder tells for that of the leases which earlier holders gave.
	AgentLease time.Duration
	// ClockDrift is the share by which a worker's clock may run slow; the platform guarantees 2%.
	ClockDrift float64
	// LeaseMargin is added to the longest duration of a lease, for rounding and late timers.
	LeaseMargin time.Duration
	// FreshFor is how long a worker may be given work after the last reply of its agent: slightly more
	// than two renewal intervals.
	FreshFor time.Duration
	// RenewalSlack is the difference between FreshFor and two renewal intervals.
	RenewalSlack time.Duration
	// ResendAfter is how long the holder waits for the answer to an order before it sends the order
	// again. By then the agent has abandoned the first attempt, and orders are idempotent.
	ResendAfter time.Duration
	// StartWithin is how long the start of all tasks of a run may take. It is below the time after
	// which a worker aborts an incomplete gang (3 s).
	StartWithin time.Duration
	// StopLinger is how long the other tasks of a gang that is done may take to end by themselves.
	StopLinger time.Duration
	// StallAfter is how long a task's progress may stay unchanged before the task is restarted
	// elsewhere. Workers report progress as a whole percentage, twice per second.
	StallAfter time.Duration
	// AsideAfter is the number of consecutive failures, of different jobs, after which a worker is
	// quarantined. AsideFor is the length of the quarantine.
	AsideAfter int
	AsideFor   time.Duration
	// RelaxAfter is how long a group waits for workers that it prefers while others are free. It waits
	// twice as long before it accepts workers known to be bad, or leaves its rack. That is below the
	// 3 s for which a job may have no run while workers are free, and leaves 1.5 s until the end of
	// the job's last run is reported and the next start is carried out: with 0.9 s the longest gap was
	// 2.5 s (400 jobs as processes, on a busy VM).
	RelaxAfter time.Duration
	// RetryRefused is how long a worker that refused a start is sent no other.
	RetryRefused time.Duration
	// FarFactor is how many times as long a gang takes if it is spread over several racks, or a task if
	// it is away from its data.
	FarFactor float64
	// DisplaceFactor bounds the work that preemption may destroy for urgent work beyond a guarantee, as
	// a multiple of the urgent work itself.
	DisplaceFactor float64
	// LeastPaceSpread is the standard deviation of the logarithms of the workers' paces below which
	// paces are ignored: below a tenth, a worker that packs better is worth more than a faster one.
	LeastPaceSpread float64
	// QuickReserve is the free capacity that other work leaves on workers of normal pace while slower
	// workers have free capacity, as a multiple of what urgent work has used recently.
	QuickReserve float64
	// RetainFor is how long capacity released by urgent work stays reserved as urgent headroom: about
	// the average run time of an urgent task. If other work took the capacity at once, urgent work
	// would preempt that work to get it back.
	RetainFor time.Duration
	// EvacuateWithin is the operator's limit on how long after the request for an evacuation a task may
	// still be started in its data centre; 0 for no limit.
	EvacuateWithin time.Duration
	// ForgetAfter is how long an agent may be silent before its row is deleted. A live agent registers
	// again when no holder has called it for 10 s.
	ForgetAfter time.Duration
	// KeepEnded is how long the state of an ended job is kept.
	KeepEnded time.Duration
	// Scheduling switches decisions on that DefaultSettings leaves off.
	Scheduling
}

// Scheduling holds the settings of decisions that are optional. With the zero value a pool places each group as soon
// as it fits, and takes callers' estimates as they are.
type Scheduling struct {
	// LearnLengths makes the pool predict run lengths from the observed accuracy of callers' estimates.
	LearnLengths bool
	// RememberPaces makes the pool keep a worker's pace across instances and holders.
	RememberPaces bool
	// ChooseStarts makes the pool start urgent groups now or later, by their chance of being in time, and
	// keep promises of capacity.
	ChooseStarts bool
	// ProtectBackground makes the pool start background work where and when it is likely to end
	// undisturbed, and select victims by the work that their stop loses.
	ProtectBackground bool
	// ObserveHeadroom makes the pool size urgent headroom by the observed need of urgent work.
	ObserveHeadroom bool
	// ShareCrowding makes urgent jobs of several workspaces that cannot all be in time share the capacity
	// by weight. A workspace without an entry in WorkspaceWeights has weight 1.
	ShareCrowding    bool
	WorkspaceWeights map[string]float64
	// StopTime is the longest time that a run takes to stop, CheckpointInterval the interval at which a
	// task saves its progress, and RestoreTime the time that a resumed run needs before it makes progress;
	// 0 if not known.
	StopTime           time.Duration
	CheckpointInterval time.Duration
	RestoreTime        time.Duration
}

// DefaultSettings returns the settings for the platform.
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

// leaseEnd returns the time by which every lease that an agent holds for its worker has lapsed, given
// the time of the agent's last reply.
func (s Settings) leaseEnd(lastReply time.Time) time.Time {
	longest := time.Duration(float64(s.AgentLease) / (1 - s.ClockDrift))
	return lastReply.Add(longest).Add(s.LeaseMargin)
}
