package pool

import (
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// Tables that a pool keeps its rows in.
const (
	// IntakeTable has what others tell the pool: jobs, cancellations and agents.
	IntakeTable = "intake"
	// StateTable has what the holder writes.
	StateTable = "state"
	// LeaseTable has the row that says who holds the pool.
	LeaseTable = "lease"
)

// IntakePart is the part of the store that has a pool's rows in the intake table. It is apart
// from that of its other rows: the store makes the transactions of one part in turn, and when
// it is slow, new jobs would hold up the renewals of the holder's lease.
func IntakePart(pool string) string {
	return pool + "/intake"
}

// JobKey is the key of a job's row.
func JobKey(pool string, id job.ID) store.Key {
	return store.Key{Table: IntakeTable, Part: IntakePart(pool), Name: jobPrefix + string(id) + jobSuffix}
}

// CancelKey is the key of the row that says that a job was cancelled.
func CancelKey(pool string, id job.ID) store.Key {
	return store.Key{Table: IntakeTable, Part: IntakePart(pool), Name: jobPrefix + string(id) + cancelSuffix}
}

// JobRange is the range of the rows that callers wrote of a job.
func JobRange(pool string, id job.ID) store.Range {
	name := jobPrefix + string(id) + "/"
	return store.Range{Table: IntakeTable, Part: IntakePart(pool), From: name, To: name + "~"}
}

// AgentKey is the key of the row that says where an agent is reached.
func AgentKey(pool, agent string) store.Key {
	return store.Key{Table: IntakeTable, Part: IntakePart(pool), Name: agentPrefix + agent}
}

// StateKey is the key of the row that says where a job stands.
func StateKey(pool string, id job.ID) store.Key {
	return store.Key{Table: StateTable, Part: pool, Name: jobPrefix + string(id)}
}

// SummaryKey is the key of the row that counts the pool's waiting jobs.
func SummaryKey(pool string) store.Key {
	return store.Key{Table: StateTable, Part: pool, Name: summaryName}
}

// LeaseKey is the key of the row that says who holds the pool.
func LeaseKey(pool string) store.Key {
	return store.Key{Table: LeaseTable, Part: pool, Name: "holder"}
}

const (
	jobPrefix    = "job/"
	jobSuffix    = "/spec"
	cancelSuffix = "/cancel"
	agentPrefix  = "agent/"
	summaryName  = "summary"
)
