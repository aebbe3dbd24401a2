package pool

import (
	"math"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// Intake is a decoded row of the intake table: a NewJob, a Cancellation, a CancellationRemoval or an AgentAddress.
type Intake interface {
	intake()
}

type (
	// NewJob is an accepted job.
	NewJob struct {
		Job job.Job
		// Pool is the pool that the job was accepted for.
		Pool string
		// Version is the version of the row; 0 if it is unknown.
		Version uint64
		// Legacy reports that the row lies under the key of earlier releases.
		Legacy bool
		// Checked reports that the row was written on the condition that there was no cancellation under the same
		// keys. Releases that don't name the pool in the row wrote it without this condition.
		Checked bool
		// Noticed reports that the row came in a notice. The feed of the table may be behind it.
		Noticed bool
	}

	// Cancellation is a caller's request to end a job.
	Cancellation struct {
		ID job.ID
		// Pool is the pool whose holder applies the cancellation.
		Pool string
		// Keys are those of the job's rows. Version is the version of this one; 0 if it is unknown, as in a notice of
		// an earlier release. At is when it was written.
		Keys    JobKeys
		Version uint64
		At      time.Time
		// Noticed reports that the row came in a notice. It may have been deleted since.
		Noticed bool
	}

	// CancellationRemoval is the deletion of a cancellation's row.
	CancellationRemoval struct {
		Key store.Key
		// Version is that of the deletion.
		Version uint64
	}

	// AgentAddress is the address of an agent. It is empty if the agent's row was deleted.
	AgentAddress struct {
		Agent   string
		Address string
		// Key and Version are those of the row, or of its deletion.
		Key     store.Key
		Version uint64
	}
)

func (NewJob) intake()              {}
func (Cancellation) intake()        {}
func (CancellationRemoval) intake() {}
func (AgentAddress) intake()        {}

// Clock relates the store's monotonic clock to the clock of this process.
type Clock struct {
	Now   time.Time
	Store time.Duration
}

// Time converts a reading of the store's clock to a time of this process.
func (c Clock) Time(reading time.Duration) time.Time {
	return c.Now.Add(reading - c.Store)
}

// DecodeIntake decodes a row of the intake table. It returns nil for deleted rows of jobs.
func DecodeIntake(row store.Row, clock Clock) (Intake, error) {
	name := row.Key.Name
	switch {
	case strings.HasPrefix(name, agentPrefix):
		return decodeAgent(row, strings.TrimPrefix(name, agentPrefix))
	case row.Deleted && strings.HasSuffix(name, cancelSuffix):
		return CancellationRemoval{Key: row.Key, Version: row.Version}, nil
	case row.Deleted:
		return nil, nil
	case strings.HasSuffix(name, jobSuffix):
		return decodeJob(row, jobIDOf(name, jobSuffix), clock)
	case strings.HasSuffix(name, cancelSuffix):
		return decodeCancel(row, jobIDOf(name, cancelSuffix), clock)
	default:
		return nil, &Error{Op: "decode row " + name, Kind: KindCorrupt}
	}
}

// KindOfIntake returns the kind of content that a key of the intake table stands for.
func KindOfIntake(key store.Key) malformed.Kind {
	switch {
	case strings.HasPrefix(key.Name, agentPrefix):
		return malformed.Agent
	case strings.HasSuffix(key.Name, jobSuffix):
		return malformed.Job
	case strings.HasSuffix(key.Name, cancelSuffix):
		return malformed.Cancellation
	default:
		return malformed.Other
	}
}

// jobIDOf extracts the job's ID from the name of an intake row.
func jobIDOf(name, suffix string) job.ID {
	return job.ID(strings.TrimSuffix(strings.TrimPrefix(name, jobPrefix), suffix))
}

func decodeAgent(row store.Row, agent string) (Intake, error) {
	content := &poolpb.AgentRow{}
	if row.Deleted {
		return AgentAddress{Agent: agent, Key: row.Key, Version: row.Version}, nil
	}
	if err := proto.Unmarshal(row.Value, content); err != nil {
		return nil, &Error{Op: "decode agent " + agent, Kind: KindCorrupt, Err: err}
	}
	address, err := netip.ParseAddrPort(content.GetAddress())
	if err != nil || address.Port() == 0 {
		return nil, &Error{Op: "decode agent " + agent, Kind: KindCorrupt, Err: err}
	}
	return AgentAddress{Agent: agent, Address: content.GetAddress(), Key: row.Key, Version: row.Version}, nil
}

func decodeCancel(row store.Row, id job.ID, clock Clock) (Intake, error) {
	if err := CheckCancel(row); err != nil {
		return nil, err
	}
	content := &poolpb.CancelRow{}
	_ = proto.Unmarshal(row.Value, content) // CheckCancel has decoded it
	poolName, err := poolOfRow(row.Key, content.GetPool())
	return Cancellation{
		ID:      id,
		Pool:    poolName,
		Keys:    jobKeysIn(row.Key.Part, id),
		Version: row.Version,
		At:      clock.Time(time.Duration(content.GetCancelledMs()) * time.Millisecond),
	}, err
}

// poolOfRow returns the pool of a row that a caller wrote: the pool that the row names or, under the keys of
// earlier releases, the one that its part belongs to.
func poolOfRow(key store.Key, named string) (string, error) {
	if !inJobPart(key) {
		named = poolOfPart(key.Part)
	}
	if named == "" {
		return "", &Error{Op: "decode row " + key.Name, Kind: KindCorrupt}
	}
	return named, nil
}

// CheckCancel returns an error if a row is not a valid cancellation: a row that cannot be decoded
// cancels nothing.
func CheckCancel(row store.Row) error {
	content := &poolpb.CancelRow{}
	err := proto.Unmarshal(row.Value, content)
	if err == nil && content.GetLayout() == rowLayout {
		return nil
	}
	return &Error{Op: "decode row " + row.Key.Name, Kind: KindCorrupt, Err: err}
}

func decodeJob(row store.Row, id job.ID, clock Clock) (Intake, error) {
	content := &poolpb.JobRow{}
	if err := proto.Unmarshal(row.Value, content); err != nil {
		return nil, &Error{Op: "decode job " + string(id), Kind: KindCorrupt, Err: err}
	}
	j := job.Job{
		ID:        id,
		Queue:     content.GetQueue(),
		Workspace: content.GetWorkspace(),
		Spec:      content.GetSpec(),
		Accepted:  clock.Time(time.Duration(content.GetAcceptedMs()) * time.Millisecond),
		Terms: job.Terms{
			Priority: int(content.GetPriority()),
			Attempts: int(content.GetAttempts()),
			Stretch:  content.GetStretch(),
			Goal:     time.Duration(content.GetGoalMs()) * time.Millisecond,
			Advised:  content.GetAdvised(),
		},
	}
	if content.GetRepeats() > 0 {
		j.Schedule = job.Schedule{
			Repeats:  int(content.GetRepeats()),
			First:    time.UnixMilli(content.GetFirstMs()),
			Interval: time.Duration(content.GetIntervalMs()) * time.Millisecond,
		}
	}
	for _, step := range content.GetSteps() {
		j.Steps = append(j.Steps, stepFromRow(step))
	}
	if err := j.Validate(); err != nil {
		return nil, &Error{Op: "decode job " + string(id), Kind: KindCorrupt, Err: err}
	}
	if !validTerms(j) {
		return nil, &Error{Op: "decode job " + string(id), Kind: KindCorrupt}
	}
	poolName, err := poolOfRow(row.Key, content.GetPool())
	if err != nil {
		return nil, err
	}
	return NewJob{Job: j, Pool: poolName, Version: row.Version, Legacy: !inJobPart(row.Key), Checked: content.GetPool() != ""}, nil
}

// validTerms reports whether the terms are within the ranges that gateways write.
func validTerms(j job.Job) bool {
	t := j.Terms
	stretch := t.Stretch >= 0 && !math.IsInf(t.Stretch, 0)
	return t.Priority >= 0 && t.Attempts >= 0 && t.Goal >= 0 && stretch
}

func stepFromRow(row *poolpb.Step) job.Step {
	step := job.Step{
		Count: int(row.GetCount()),
		Shape: job.Shape{
			CPUMillis:    int(row.GetCpuMillis()),
			MemoryMB:     int(row.GetMemoryMb()),
			Accelerators: int(row.GetAccelerators()),
		},
		Estimate:       time.Duration(row.GetEstimateMs()) * time.Millisecond,
		Checkpoint:     row.GetCheckpoint(),
		Gang:           row.GetGang(),
		SameRack:       row.GetSameRack(),
		Label:          row.GetLabel(),
		DataRack:       row.GetDataRack(),
		MaxPerWorker:   int(row.GetMaxPerWorker()),
		Speculative:    row.GetSpeculative(),
		LongRunning:    row.GetLongRunning(),
		MaxUnavailable: int(row.GetMayMiss()),
		LatencyTarget:  time.Duration(row.GetTargetMs()) * time.Millisecond,
		Filler:         row.GetFiller(),
	}
	for _, before := range row.GetAfter() {
		step.After = append(step.After, int(before))
	}
	return step
}

// JobRow returns the row for a job that was accepted for a pool. The time of acceptance is a reading of the
// store's clock.
func JobRow(poolName string, j job.Job, accepted time.Duration) *poolpb.JobRow {
	row := &poolpb.JobRow{
		Pool:       poolName,
		Queue:      j.Queue,
		Workspace:  j.Workspace,
		Spec:       j.Spec,
		AcceptedMs: accepted.Milliseconds(),
		Priority:   int32(j.Terms.Priority),
		Attempts:   int32(j.Terms.Attempts),
		Stretch:    j.Terms.Stretch,
		GoalMs:     rowMilliseconds(j.Terms.Goal),
		Advised:    j.Terms.Advised,
	}
	if !j.Schedule.Immediate() {
		row.Repeats = int32(j.Schedule.Repeats)
		row.FirstMs = j.Schedule.First.UnixMilli()
		row.IntervalMs = j.Schedule.Interval.Milliseconds()
	}
	for _, step := range j.Steps {
		row.Steps = append(row.Steps, stepToRow(step))
	}
	return row
}

func stepToRow(step job.Step) *poolpb.Step {
	row := &poolpb.Step{
		Count:        int32(step.Count),
		CpuMillis:    int32(step.Shape.CPUMillis),
		MemoryMb:     int32(step.Shape.MemoryMB),
		Accelerators: int32(step.Shape.Accelerators),
		EstimateMs:   rowMilliseconds(step.Estimate),
		Checkpoint:   step.Checkpoint,
		Gang:         step.Gang,
		SameRack:     step.SameRack,
		Label:        step.Label,
		DataRack:     step.DataRack,
		MaxPerWorker: int32(step.MaxPerWorker),
		Speculative:  step.Speculative,
		LongRunning:  step.LongRunning,
		MayMiss:      int32(step.MaxUnavailable),
		TargetMs:     rowMilliseconds(step.LatencyTarget),
		Filler:       step.Filler,
	}
	for _, before := range step.After {
		row.After = append(row.After, int32(before))
	}
	return row
}

// rowMilliseconds returns a duration as a row has it: 24.8 days at most, which is as good as any longer estimate or goal.
func rowMilliseconds(d time.Duration) int32 {
	return int32(min(d.Milliseconds(), math.MaxInt32))
}
