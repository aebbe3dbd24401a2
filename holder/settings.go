package holder

import "time"

const (
	// HoldFor is how long a holder acts on its lease after the store last confirmed it.
	// Agents' leases must outlast it with an outage of the store (4.5 s) in between.
	HoldFor = 1500 * time.Millisecond
	// TakeAfter is how long the lease's row must stand unchanged, while it can be read,
	// before another process takes the pool: above HoldFor by the drift of two clocks.
	TakeAfter = 1900 * time.Millisecond
	// renewEvery is how often the lease is renewed when nothing else is committed: three
	// times within HoldFor.
	renewEvery = 450 * time.Millisecond

	// lookEvery is how often a process that waits for a pool reads its lease. A feed of the row would
	// wake it with each of the holder's transactions.
	lookEvery = 250 * time.Millisecond
	// handoverWait is how long the store holds the question back whether a pool was given up:
	// well within the 20 s for which it keeps its history.
	handoverWait = 5 * time.Second
	// intakeWait is the same for new jobs. A feed can fall silent when the store forgets its
	// history; this bounds for how long that goes unnoticed.
	intakeWait = 800 * time.Millisecond

	// syncWait is how long an agent holds a renewal back while it has no news, at least, and longestSyncWait
	// at most: a lease outlasts it and a change of holder.
	syncWait        = 500 * time.Millisecond
	longestSyncWait = 1500 * time.Millisecond
	// renewalsPerSecond is how many renewals without news a holder makes for all its agents at most, until each
	// waits for longestSyncWait.
	renewalsPerSecond = 800
	// syncTimeout is how long a renewal may take beyond that; then the connection is dialled
	// anew.
	syncTimeout = 800 * time.Millisecond
	// orderTimeout bounds an order's call: the agent gives each of up to five rounds of orders
	// 0.2 s.
	orderTimeout = 1200 * time.Millisecond
	// firstRetryAgent and lastRetryAgent bound the waits before an agent that can't be
	// reached is dialled again: one that was restarted is to keep its lease up in time.
	firstRetryAgent = 200 * time.Millisecond
	lastRetryAgent  = 800 * time.Millisecond

	// firstRetry and lastRetry bound the waits after a failure of the store.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
	// snapshotTimeout bounds the wait for the state dump.
	snapshotTimeout = 500 * time.Millisecond
	// handOverTimeout bounds the commits of a holder that stops, and then the one that gives
	// the pool up. A commit without an answer takes twice as long as a call to the store may
	// (0.8 s) until it is settled; both fit into the 5.5 s of a gateway's stop.
	handOverTimeout = 2 * time.Second
)
