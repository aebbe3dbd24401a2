package holder

import "time"

const (
	// LeaseValidity is how long a holder acts on its lease after it sent the last transaction that the store
	// confirmed. Leases granted to agents until then must outlast an outage of the store (4.5 s).
	LeaseValidity = 1500 * time.Millisecond
	// TakeoverAfter is how long the lease's row must stay unchanged, with no failed read, before another process
	// takes the pool. It exceeds LeaseValidity by the drift between two clocks.
	TakeoverAfter = 1900 * time.Millisecond
	// renewInterval is how often the lease is renewed if nothing else is committed: three times within
	// LeaseValidity.
	renewInterval = 450 * time.Millisecond

	// leasePollInterval is how often a process that waits for a pool reads its lease. It doesn't follow the row,
	// because each of the holder's transactions would wake it.
	leasePollInterval = 250 * time.Millisecond
	// handoverWait is how long the store may delay its answer while the pool is not released: well within the
	// 20 s for which it keeps its history.
	handoverWait = 5 * time.Second
	// intakeWait is how long the store may delay its answer while the intake table has no new rows. A feed can fall
	// silent when the store forgets its history; intakeWait bounds how long that goes unnoticed.
	intakeWait = 800 * time.Millisecond

	// minSyncWait and maxSyncWait bound how long an agent may delay its reply to a renewal while its report is
	// unchanged. An agent's lease outlasts maxSyncWait and a change of holder.
	minSyncWait = 500 * time.Millisecond
	maxSyncWait = 1500 * time.Millisecond
	// maxRenewalsPerSecond bounds the renewals without a new report of all agents together, until each agent
	// delays its replies by maxSyncWait.
	maxRenewalsPerSecond = 800
	// syncTimeout is how long a renewal may take beyond the agent's delay; then the agent is dialled again.
	syncTimeout = 800 * time.Millisecond
	// orderTimeout bounds the call that sends orders: the agent gives each of up to five rounds of orders 0.2 s.
	orderTimeout = 1200 * time.Millisecond
	// minAgentRetryDelay and maxAgentRetryDelay bound the delays before an unreachable agent is dialled again: the
	// lease of a restarted agent must be renewed in time.
	minAgentRetryDelay = 200 * time.Millisecond
	maxAgentRetryDelay = 800 * time.Millisecond

	// minRetryDelay and maxRetryDelay bound the delays after a failed call to the store.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// snapshotTimeout bounds the wait for a snapshot of the pool.
	snapshotTimeout = 500 * time.Millisecond
	// handoverTimeout bounds the last commits of a stopping holder, and then the commit that releases the pool.
	// Until the outcome of an unanswered commit is known, it takes twice the time limit of a call to the store
	// (0.8 s). Both bounds fit into the 5.5 s that a gateway has to stop.
	handoverTimeout = 2 * time.Second
)
