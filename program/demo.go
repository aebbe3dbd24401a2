package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/client"
	"hollyfork.example/hollyfork/declare"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/platform/standin"
	"hollyfork.example/wire"
)

// demo runs an example against the API and follows its jobs on the watch stream.
type demo struct {
	client *client.Client
	out    io.Writer

	mu sync.Mutex
	// accepted holds the keys of the accepted jobs by the jobs' IDs.
	accepted map[string]string
	// latest holds the latest received state of each job by its ID.
	latest map[string]*wire.Job
	// position is the position of the last event of the stream; empty before the first event.
	position string
}

func newDemo(c *client.Client, out io.Writer) *demo {
	return &demo{client: c, out: out, accepted: map[string]string{}, latest: map[string]*wire.Job{}}
}

// run applies the declarations, submits the jobs, and returns when all accepted jobs have ended.
func (d *demo) run(ctx context.Context, set *declare.Set, workers int) error {
	if err := d.await(ctx, "all workers to be reachable", func() bool { return d.reachable(ctx) == workers }); err != nil {
		return err
	}
	if err := d.apply(ctx, set); err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go func() { _ = d.client.Watch(watching, "", "", d.handleEvent) }()
	if err := d.await(ctx, "the watch stream", d.streamBegun); err != nil {
		return err
	}
	for _, job := range set.Jobs {
		for n := range job.Copies {
			if err := d.submit(ctx, fmt.Sprintf("%s-%d", job.Key, n+1), job.Spec); err != nil {
				return err
			}
		}
	}
	return d.await(ctx, "all jobs to end", d.allEnded)
}

// await waits for a condition until ctx is done.
func (d *demo) await(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if !backoff.Sleep(ctx, readyPoll) {
			return errors.New("waited too long for " + what)
		}
	}
	return nil
}

func (d *demo) reachable(ctx context.Context) int {
	list, err := d.client.Workers(ctx)
	if err != nil {
		return 0
	}
	count := 0
	for _, w := range list.GetWorkers() {
		if w.GetReachable() {
			count++
		}
	}
	return count
}

func (d *demo) apply(ctx context.Context, set *declare.Set) error {
	for _, ws := range set.Workspaces {
		if _, err := d.client.PutWorkspace(ctx, ws, 0); err != nil {
			return fmt.Errorf("workspace %s: %w", ws.GetName(), err)
		}
		_, _ = fmt.Fprintf(d.out, "declared workspace %s\n", ws.GetName())
	}
	for _, s := range set.Services {
		if _, err := d.client.PutService(ctx, s, 0); err != nil {
			return fmt.Errorf("service %s: %w", s.GetName(), err)
		}
		_, _ = fmt.Fprintf(d.out, "declared service %s\n", s.GetName())
	}
	return nil
}

// submit submits a job under its key until it is accepted or permanently rejected.
func (d *demo) submit(ctx context.Context, key string, spec *wire.JobSpec) error {
	for {
		job, _, err := d.client.Submit(ctx, key, spec)
		if err == nil {
			d.recordAccepted(key, job)
			return nil
		}
		var failure *api.Error
		if !errors.As(err, &failure) || failure.RetryAfter == 0 || !backoff.Sleep(ctx, failure.RetryAfter) {
			return fmt.Errorf("job %s: %w", key, err)
		}
	}
}

func (d *demo) recordAccepted(key string, job *wire.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted[job.GetId()] = key
}

// handleEvent records and prints the change of a job.
func (d *demo) handleEvent(event *wire.Event) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.position = event.GetPosition()
	job := event.GetJob()
	if job == nil {
		return true
	}
	d.latest[job.GetId()] = job
	_, _ = fmt.Fprintf(d.out, "%s %s %-13s %s%s\n", time.Now().Format(time.TimeOnly), job.GetId(), job.GetSpec().GetWorkspace(), job.GetState(), placementText(job))
	return true
}

// placementText describes the workers and accelerators on which a job runs.
func placementText(job *wire.Job) string {
	if len(job.GetPlacement()) == 0 {
		return ""
	}
	cells := make([]string, len(job.GetPlacement()))
	for i, p := range job.GetPlacement() {
		cells[i] = fmt.Sprintf("%s[%d+%d]", p.GetWorker(), p.GetFirstAccelerator(), p.GetAccelerators())
	}
	return " on " + strings.Join(cells, " ")
}

func (d *demo) streamBegun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position != ""
}

func (d *demo) allEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.accepted {
		if d.latest[id].GetState() < wire.JobState_FINISHED {
			return false
		}
	}
	return true
}

// demoResult counts the jobs of a demonstration by their outcome.
type demoResult struct {
	finished, failed, unknown int
	// lost counts the accepted jobs for which the workers recorded fewer completed runs than the job has tasks.
	// duplicated counts the jobs that are not repeatable and for which they recorded more started runs than that.
	lost, duplicated int
}

// String returns the last line of a demonstration's output.
func (t demoResult) String() string {
	return fmt.Sprintf("jobs: %d finished, %d failed, %d unknown, %d lost, %d doubled", t.finished, t.failed, t.unknown, t.lost, t.duplicated)
}

func (t demoResult) succeeded() bool {
	return t.failed == 0 && t.unknown == 0 && t.lost == 0 && t.duplicated == 0
}

// countResults counts the final states that the stream reported, and compares them with the runs that the workers
// recorded.
func (d *demo) countResults(record []standin.Run) demoResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := countRuns(record)
	t := demoResult{}
	for id := range d.accepted {
		job := d.latest[id]
		switch job.GetState() {
		case wire.JobState_FINISHED:
			t.finished++
		case wire.JobState_FAILED:
			t.failed++
		case wire.JobState_UNKNOWN:
			t.unknown++
		}
		tasks := max(1, int(job.GetSpec().GetTasks()))
		if runs[id].exited < tasks {
			t.lost++
		}
		if !job.GetSpec().GetRepeatable() && runs[id].started > tasks {
			t.duplicated++
		}
	}
	return t
}

// runCount counts the runs of a job that the workers recorded.
type runCount struct {
	started int
	exited  int
}

func countRuns(record []standin.Run) map[string]runCount {
	counts := map[string]runCount{}
	for _, run := range record {
		id, _, _ := strings.Cut(run.Key, "~")
		count := counts[id]
		count.started++
		if run.State == platform.TaskExited {
			count.exited++
		}
		counts[id] = count
	}
	return counts
}
