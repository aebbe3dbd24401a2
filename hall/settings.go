package hall

import (
	"time"

	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

const (
	// maxSyncWait bounds how long an agent delays the reply to a Sync, whatever the number of agents.
	maxSyncWait = 40 * time.Second
	// syncsPerLease is the number of renewals that fit into an agent's lease.
	syncsPerLease = 3
)

// DefaultSettings are the default settings of a holder.
var DefaultSettings = Settings{
	Policy:             policy.DefaultSettings,
	HolderLease:        6 * time.Second,
	AgentLease:         20 * time.Second,
	SyncWait:           3 * time.Second,
	SyncSpacing:        50 * time.Millisecond,
	ClockDrift:         0.01,
	CommitInterval:     50 * time.Millisecond,
	ReservationTime:    10 * time.Second,
	StartTimeout:       8 * time.Second,
	CheckpointTimeout:  10 * time.Second,
	MoveAfter:          30 * time.Second,
	MovedPollInterval:  3 * time.Second,
	UnreachableAfter:   2 * time.Second,
	OutcomeTimeout:     15 * time.Minute,
	MaxAttempts:        5,
	MaxQueued:          10000,
	ConfigPollInterval: time.Second,
	VMPollInterval:     2 * time.Second,
	MaxEndedInMemory:   10000,
}

// Settings are the settings of a holder.
type Settings struct {
	Policy policy.Settings
	// HolderLease is how long the lease of a hall's holder is valid after a renewal.
	HolderLease time.Duration
	// AgentLease is how long an agent's tasks continue to run without a renewal. It is longer in large
	// halls; see agentLease.
	AgentLease time.Duration
	// SyncWait is how long an agent delays its reply to a Sync if it has nothing to report. It is longer in
	// large halls; see syncWait.
	SyncWait time.Duration
	// SyncSpacing is the minimum average interval between the renewals of two agents.
	SyncSpacing time.Duration
	// ClockDrift is the maximum relative difference between the rates of two clocks.
	ClockDrift float64
	// CommitInterval is the minimum interval between two transactions of a hall.
	CommitInterval time.Duration
	// ReservationTime is how long an agent reserves accelerators for a gang that has not been started.
	ReservationTime time.Duration
	// StartTimeout is the time limit for reserving all parts of a gang, and again for starting them.
	StartTimeout time.Duration
	// CheckpointTimeout is the time limit for a preempted job to save a checkpoint.
	CheckpointTimeout time.Duration
	// MoveAfter is how long a job waits in a hall before it may move to another one.
	MoveAfter time.Duration
	// MovedPollInterval is the interval at which the holder looks for jobs that were moved to the hall.
	MovedPollInterval time.Duration
	// UnreachableAfter is how late an agent's reply to a renewal may be before its worker gets no new work.
	UnreachableAfter time.Duration
	// OutcomeTimeout is how long the holder waits for the outcome of a job that must not be repeated, while
	// its agent is unreachable and its VM is listed.
	OutcomeTimeout time.Duration
	// MaxAttempts bounds the number of attempts of a repeatable job that fails or is lost.
	MaxAttempts int32
	// MaxQueued bounds the number of queued jobs of a workspace that does not specify its own limit.
	MaxQueued int
	// ConfigPollInterval is the interval at which the configuration is read.
	ConfigPollInterval time.Duration
	// VMPollInterval is the interval at which the list of VMs is read.
	VMPollInterval time.Duration
	// MaxEndedInMemory is the number of ended jobs that are kept in memory.
	MaxEndedInMemory int
}

// syncWait returns how long agents delay their replies to Syncs. It grows with the number of agents up to
// maxSyncWait, so that the rate of Syncs in the hall stays the same.
func (s Settings) syncWait(agents int) time.Duration {
	wait := max(s.SyncWait, time.Duration(agents)*s.SyncSpacing)
	return min(wait, max(s.SyncWait, maxSyncWait))
}

// agentLease returns the duration of agents' leases, which is long enough for several renewals.
func (s Settings) agentLease(agents int) time.Duration {
	return max(s.AgentLease, syncsPerLease*s.syncWait(agents))
}

// longestAgentLease returns the longest lease of an agent that the settings allow, whatever the number of agents.
func (s Settings) longestAgentLease() time.Duration {
	return max(s.AgentLease, syncsPerLease*max(s.SyncWait, maxSyncWait))
}

// earlierAgentLease returns the longest lease that an agent may have when a hall is taken, given the hall's last
// lease. It is at least AgentLease, with which the new holder begins.
func (s Settings) earlierAgentLease(last *wire.HolderLease) time.Duration {
	recorded := time.Duration(last.GetLongestAgentLeaseMs()) * time.Millisecond
	if recorded == 0 && last.GetEpoch() > 0 {
		recorded = s.longestAgentLease()
	}
	return max(recorded, s.AgentLease)
}

// leaseBound returns the duration of an agent's lease on the holder's clock in a hall with a number of agents.
func (s Settings) leaseBound(agents int) time.Duration {
	return s.withDrift(s.agentLease(agents))
}

// withDrift returns the duration of a lease on the holder's clock, with allowance for clock drift.
func (s Settings) withDrift(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*s.ClockDrift)
}
