package pool

import (
	"hash/fnv"
	"strconv"
	"strings"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// Tables that hold a pool's rows.
const (
	// IntakeTable holds the rows that other processes write for the pool: jobs, cancellations and
	// agents.
	IntakeTable = "intake"
	// StateTable holds the rows that the pool's holder writes.
	StateTable = "state"
	// LeaseTable holds the row that names the pool's holder.
	LeaseTable = "lease"
	// HandoverTable holds a row that is written when a holder releases the pool. Processes that wait
	// for the pool watch this row, because the row of the lease changes with every transaction.
	HandoverTable = "handover"
)

// intakePartCount is the number of parts over which the rows of callers are spread, and of those over
// which the rows of a pool's agents are. The store serialises the transactions on one part. With 16 parts
// the rows that a whole fleet writes when it starts are committed before the store's time-outs, and a store
// that is 60 times as slow still accepts some jobs at once.
const intakePartCount = 16

// JobKeys are the keys of the rows that callers write for a job.
type JobKeys struct {
	Job    store.Key
	Cancel store.Key
}

// IntakeParts returns all parts of the store that hold rows of a pool's intake table. They differ from
// the part that the holder writes, so that new rows do not delay the renewals of its lease. The parts of
// callers' rows are common to all pools.
func IntakeParts(pool string) []string {
	parts := []string{legacyAgentPart(pool)}
	for number := range uint32(intakePartCount) {
		parts = append(parts, intakePart(pool, number), jobPart(number))
	}
	return parts
}

// intakePart returns the name of one of the parts over which the rows of a pool's agents are spread.
// Earlier releases also kept the rows of callers there.
func intakePart(pool string, number uint32) string {
	return legacyAgentPart(pool) + "/" + strconv.FormatUint(uint64(number), 10)
}

// jobPart returns the name of one of the parts over which the rows of callers are spread.
func jobPart(number uint32) string {
	return jobPartPrefix + strconv.FormatUint(uint64(number), 10)
}

// partNumberOf returns the number of the part that holds the rows of a job or an agent.
func partNumberOf(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // a hash never returns an error
	return hash.Sum32() % intakePartCount
}

// legacyAgentPart returns the single part in which agents of earlier releases keep their rows. Its name
// is the prefix of the names of the other parts.
func legacyAgentPart(pool string) string {
	return pool + "/intake"
}

// KeysOf returns the keys of a job's rows. They don't depend on the job's pool: a queue may move to another
// pool, and gateways may have different configurations, so only its identifier tells where a job is.
func KeysOf(id job.ID) JobKeys {
	return jobKeysIn(jobPart(partNumberOf(string(id))), id)
}

// LegacyKeysOf returns the keys of a job's rows as earlier releases wrote them, by the pool of the job.
func LegacyKeysOf(pool string, id job.ID) JobKeys {
	return jobKeysIn(intakePart(pool, partNumberOf(string(id))), id)
}

func jobKeysIn(part string, id job.ID) JobKeys {
	name := jobPrefix + string(id)
	return JobKeys{
		Job:    store.Key{Table: IntakeTable, Part: part, Name: name + jobSuffix},
		Cancel: store.Key{Table: IntakeTable, Part: part, Name: name + cancelSuffix},
	}
}

// Range returns the range of the rows.
func (k JobKeys) Range() store.Range {
	name := strings.TrimSuffix(k.Job.Name, jobSuffix) + "/"
	return store.Range{Table: IntakeTable, Part: k.Job.Part, From: name, To: name + "~"}
}

// inJobPart reports whether a row of the intake table lies in a part that is common to all pools.
func inJobPart(key store.Key) bool {
	return strings.HasPrefix(key.Part, jobPartPrefix)
}

// poolOfPart returns the pool that a part of the intake table belongs to; empty for a part that is common to
// all pools.
func poolOfPart(part string) string {
	end := strings.LastIndex(part, "/intake")
	if end < 0 {
		return ""
	}
	return part[:end]
}

// AgentKey returns the key of the row that holds an agent's address.
func AgentKey(pool, agent string) store.Key {
	return store.Key{Table: IntakeTable, Part: intakePart(pool, partNumberOf(agent)), Name: agentPrefix + agent}
}

// legacyAgentKey returns the key of an agent's row as earlier releases wrote it.
func legacyAgentKey(pool, agent string) store.Key {
	return store.Key{Table: IntakeTable, Part: legacyAgentPart(pool), Name: agentPrefix + agent}
}

// StateKey returns the key of the row that holds a job's state.
func StateKey(pool string, id job.ID) store.Key {
	return store.Key{Table: StateTable, Part: pool, Name: jobPrefix + string(id)}
}

// SummaryKey returns the key of the row that holds the numbers of the pool's waiting jobs.
func SummaryKey(pool string) store.Key {
	return store.Key{Table: StateTable, Part: pool, Name: summaryName}
}

// LeaseKey returns the key of the row that names the pool's holder.
func LeaseKey(pool string) store.Key {
	return store.Key{Table: LeaseTable, Part: pool, Name: "holder"}
}

// HandoverKey returns the key of the row that is written when a holder releases the pool.
func HandoverKey(pool string) store.Key {
	return store.Key{Table: HandoverTable, Part: pool, Name: "holder"}
}

const (
	jobPartPrefix = "jobs/"
	jobPrefix     = "job/"
	jobSuffix     = "/spec"
	cancelSuffix  = "/cancel"
	agentPrefix   = "agent/"
	summaryName   = "summary"
)
