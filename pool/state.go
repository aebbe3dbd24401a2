package pool

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxFailedListed bounds the failed jobs that a snapshot lists.
const maxFailedListed = 20

type (
	// Snapshot is the state of a pool, for the state dump and for metrics.
	Snapshot struct {
		Pool          string `json:"pool"`
		ConfigVersion uint64 `json:"config_version"`
		// Evacuated lists the data centres in which no task is started. GuaranteeShortfall is the
		// number of accelerators missing to meet all guarantees while they are evacuated.
		Evacuated          []string       `json:"evacuated,omitempty"`
		GuaranteeShortfall int            `json:"guarantees_short_by,omitempty"`
		Jobs               map[string]int `json:"jobs"`
		Waiting            map[string]int `json:"waiting_by_queue"`
		Uncommitted        int            `json:"uncommitted"`
		// Free counts the free accelerators.
		Free FreeAccelerators `json:"free_accelerators"`
		// MissingAccelerators counts the accelerators that workers reported earlier and do not report
		// now.
		MissingAccelerators int `json:"lacking_accelerators"`
		// PaceSpread is the standard deviation of the logarithms of the workers' paces.
		PaceSpread float64 `json:"pace_spread"`
		// Queues lists the service level of each queue.
		Queues  []QueueSnapshot  `json:"queues"`
		Workers []WorkerSnapshot `json:"workers"`
		Live    []JobSnapshot    `json:"live_jobs"`
		// Failed lists the most recent failed jobs, newest first.
		Failed []FailedSnapshot `json:"failed_jobs,omitempty"`
	}

	// QueueSnapshot is the service level of a queue.
	QueueSnapshot struct {
		Queue string `json:"queue"`
		// Level is the share of the recently requested work that was done in time or still can be.
		Level float64 `json:"level"`
		// Waiting counts the jobs, or rounds of repeating jobs, with tasks that are ready but not
		// placed. Overdue counts those past their due time.
		Waiting int `json:"waiting"`
		Overdue int `json:"overdue"`
		// InTime, Late, Failed and Cancelled count the jobs or rounds that ended under this holder.
		InTime    int `json:"in_time"`
		Late      int `json:"late"`
		Failed    int `json:"failed"`
		Cancelled int `json:"cancelled"`
	}

	// FailedSnapshot is a failed job and the cause of its failure.
	FailedSnapshot struct {
		ID        string `json:"id"`
		Queue     string `json:"queue"`
		Workspace string `json:"workspace"`
		Cause     string `json:"cause"`
		AgoMS     int64  `json:"ago_ms"`
	}

	// WorkerSnapshot is the state of a worker.
	WorkerSnapshot struct {
		Agent string `json:"agent"`
		// Instance is the ID of the worker's instance. Started is the instance's start time by the
		// clock of its VM.
		Instance   string `json:"instance"`
		Started    string `json:"born,omitempty"`
		Rack       string `json:"rack"`
		DataCentre string `json:"data_centre,omitempty"`
		Evacuated  bool   `json:"evacuated,omitempty"`
		Usable     bool   `json:"usable"`
		Draining   bool   `json:"draining"`
		// NotReady reports that the agent rejects starts until it has determined the worker's current
		// instance.
		NotReady    bool `json:"not_ready,omitempty"`
		Quarantined bool `json:"set_aside"`
		// OnProbation reports that the worker was quarantined and has completed no run since. Proven
		// reports that its last run succeeded. FailuresInRow counts the failures since the last
		// success.
		OnProbation   bool `json:"on_trial"`
		Proven        bool `json:"proven"`
		FailuresInRow int  `json:"failures_in_row"`
		// Pace is how many times as long as usual the worker takes, estimated from PaceRuns runs
		// (weighted by age). Slow reports whether urgent jobs avoid the worker for that.
		Pace     float64 `json:"pace"`
		PaceRuns float64 `json:"pace_runs"`
		Slow     bool    `json:"slow"`

		Tasks      int    `json:"tasks"`
		OrphanRuns int    `json:"strays"`
		Free       string `json:"free"`
		// MissingCapacity is the difference between the largest capacity that this instance has reported
		// and its present one; empty if there is none.
		MissingCapacity string `json:"lacking,omitempty"`
		LastReplyAgoMS  int64  `json:"heard_ago_ms"`
		LeaseLeftMS     int64  `json:"lease_left_ms"`
		Committed       uint64 `json:"committed_ends"`
		Pending         int    `json:"uncommitted_ends"`
	}

	// JobSnapshot is the state of a job that has not ended, or whose runs have not all ended.
	JobSnapshot struct {
		ID        string `json:"id"`
		Queue     string `json:"queue"`
		Workspace string `json:"workspace"`
		State     string `json:"state"`
		DueInMS   int64  `json:"due_in_ms"`
		Groups    int    `json:"groups"`
		Placed    int    `json:"placed"`
		Done      int    `json:"done"`
		Failures  int    `json:"failures"`
		// Crashes is the number of workers that crashed, or may have, while they ran the same task; the
		// largest such number over all tasks.
		Crashes int `json:"crashes"`
		// WaitReason is the last emitted reason why the job has no placement, with the number of
		// workers for each objection.
		WaitReason string `json:"waits,omitempty"`
		// Rejected is why workers have rejected the last starts of a task or gang, and how often in a row; that of
		// the one that was rejected most often.
		Rejected string `json:"rejected,omitempty"`
		// Shortage is the last emitted number of tasks of a gang that would fit if other runs were
		// stopped.
		Shortage string `json:"lacks,omitempty"`
	}
)

// Snapshot returns the state of the pool at the given time.
func (c *Core) Snapshot(now time.Time) Snapshot {
	s := Snapshot{
		Pool:                c.name,
		ConfigVersion:       c.catalog.Version,
		Evacuated:           c.evacuations.DataCentres(),
		GuaranteeShortfall:  c.guaranteeShortfall(),
		Jobs:                map[string]int{},
		Waiting:             c.waitingByQueue(),
		Uncommitted:         len(c.dirty),
		Free:                c.FreeAccelerators(now),
		MissingAccelerators: c.missingAccelerators(now),
		PaceSpread:          c.paces.spread,
		Queues:              c.queueSnapshots(),
	}
	for _, j := range c.jobs {
		s.Jobs[j.stateName()]++
	}
	for _, j := range c.liveJobs {
		s.Live = append(s.Live, j.snapshot(now))
	}
	for _, w := range c.workers {
		s.Workers = append(s.Workers, w.snapshot(now, c.settings))
	}
	s.Failed = c.recentFailures(now)
	slices.SortFunc(s.Live, func(a, b JobSnapshot) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Workers, func(a, b WorkerSnapshot) int { return strings.Compare(a.Agent, b.Agent) })
	return s
}

// recentFailures returns the most recent failed jobs, newest first, up to maxFailedListed.
func (c *Core) recentFailures(now time.Time) []FailedSnapshot {
	var failed []FailedSnapshot
	for _, j := range c.jobs {
		if j.state == Failed {
			failed = append(failed, FailedSnapshot{
				ID:        string(j.job.ID),
				Queue:     j.job.Queue,
				Workspace: j.job.Workspace,
				Cause:     j.endReason,
				AgoMS:     now.Sub(j.endedAt).Milliseconds(),
			})
		}
	}
	slices.SortFunc(failed, func(a, b FailedSnapshot) int {
		return cmp.Or(cmp.Compare(a.AgoMS, b.AgoMS), strings.Compare(a.ID, b.ID))
	})
	return failed[:min(len(failed), maxFailedListed)]
}

// stateName returns the job's state for counts, or "unreadable" if its row cannot be decoded.
func (j *jobState) stateName() string {
	if j.unreadable && !j.state.ended() {
		return "unreadable"
	}
	return j.state.String()
}

func (j *jobState) snapshot(now time.Time) JobSnapshot {
	s := JobSnapshot{
		ID:         string(j.job.ID),
		Queue:      j.job.Queue,
		Workspace:  j.job.Workspace,
		State:      j.state.String(),
		DueInMS:    j.job.Due().Sub(now).Milliseconds(),
		Groups:     len(j.groups),
		WaitReason: j.waitingReason(),
		Shortage:   j.shortageText(),
	}
	var worst rejections
	for _, g := range j.groups {
		if g.rejections.count > worst.count {
			worst = g.rejections
		}
		s.Failures += g.failures
		s.Crashes = max(s.Crashes, g.crashCount())
		if g.placed() {
			s.Placed++
		}
		if g.done {
			s.Done++
		}
	}
	s.Rejected = worst.String()
	return s
}

func (w *worker) snapshot(now time.Time, settings Settings) WorkerSnapshot {
	return WorkerSnapshot{
		Agent:       w.agent,
		Instance:    w.instance.String(),
		Started:     timeText(w.instance.StartTime()),
		Rack:        w.rack,
		DataCentre:  w.dataCentre,
		Evacuated:   w.evacuated,
		Usable:      w.usable(now, settings),
		Draining:    w.draining,
		NotReady:    w.notReady,
		Quarantined: w.health.inQuarantine(now),

		OnProbation:   w.health.onProbation,
		Proven:        w.health.proven,
		FailuresInRow: w.health.failuresInRow,

		Pace:     w.pace.factor(),
		PaceRuns: w.pace.runs,
		Slow:     w.pace.slow(),

		Tasks:           len(w.members),
		OrphanRuns:      len(w.orphans),
		Free:            w.freeCapacity().String(),
		MissingCapacity: w.missingCapacityText(),
		LastReplyAgoMS:  now.Sub(w.lastReplyAt).Milliseconds(),
		LeaseLeftMS:     w.leaseEnd.Sub(now).Milliseconds(),
		Committed:       w.ends.committed,
		Pending:         len(w.ends.pending),
	}
}

// timeText formats a time for the state dump; the zero time gives an empty string.
func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}
