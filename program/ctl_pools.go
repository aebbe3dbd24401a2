package program

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/program/gatewayd"
)

const (
	// stateTimeout bounds the request for a gateway's state.
	stateTimeout = 3 * time.Second
	// maxStateBytes bounds the size of the state.
	maxStateBytes = 64 << 20
)

// poolsCommand returns the command that shows the pools that a gateway holds. It reads the state that the gateway
// serves at its metrics address.
func (c *ctl) poolsCommand() *ffcli.Command {
	flags := c.flagSet("pools")
	return &ffcli.Command{
		Name:       "pools",
		ShortUsage: "hollyforkctl -server http://VM:9464 pools",
		ShortHelp:  "show the workers and live jobs of the pools that a gateway holds",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageErrorf("pools takes no arguments")
			}
			content, err := c.fetchGatewayState(ctx)
			if err != nil {
				return err
			}
			return c.printState(content)
		},
	}
}

// fetchGatewayState reads a gateway's state as JSON.
func (c *ctl) fetchGatewayState(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.server+"/debug/state", http.NoBody)
	if err != nil {
		return nil, usageErrorf("-server: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("the gateway's state can not be read: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the gateway answers %s; -server is to be its metrics address", response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
}

// printState writes a gateway's state in the requested format.
func (c *ctl) printState(content []byte) error {
	if c.output == outputJSON {
		_, err := c.stdout.Write(content)
		return err
	}
	state := gatewayd.State{}
	if err := json.Unmarshal(content, &state); err != nil {
		return fmt.Errorf("the gateway's state can not be understood: %w", err)
	}
	if len(state.Pools) == 0 {
		if _, err := fmt.Fprintln(c.stdout, "This gateway holds no pool; ask another."); err != nil {
			return err
		}
	}
	for _, p := range state.Pools {
		if err := c.printPool(p); err != nil {
			return err
		}
	}
	return c.printMalformed(state.Malformed)
}

// printPool prints a pool's workers, queues and live jobs, and why jobs wait or have failed.
func (c *ctl) printPool(p pool.Snapshot) error {
	if _, err := fmt.Fprintf(c.stdout, "pool %s, configuration %d, %d changes to be committed\n\n", p.Pool, p.ConfigVersion, p.Uncommitted); err != nil {
		return err
	}
	if len(p.Evacuated) > 0 {
		if _, err := fmt.Fprintf(c.stdout, "evacuated: %s; guarantees are short of %d accelerators\n\n", strings.Join(p.Evacuated, " "), p.GuaranteeShortfall); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(c.stdout, "free accelerators: %s\n\n", p.Free); err != nil {
		return err
	}
	if p.MissingAccelerators > 0 {
		if _, err := fmt.Fprintf(c.stdout, "workers have %d accelerators fewer than they had\n\n", p.MissingAccelerators); err != nil {
			return err
		}
	}
	if err := c.printTable(poolWorkerRows(p.Workers)); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.stdout); err != nil {
		return err
	}
	if err := c.printTable(poolQueueRows(p.Queues)); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(c.stdout); err != nil {
		return err
	}
	if err := c.printTable(poolJobRows(p.Live)); err != nil {
		return err
	}
	if err := c.printWaitingJobs(p.Live); err != nil {
		return err
	}
	return c.printFailedJobs(p.Failed)
}

// printFailedJobs prints the causes of failed jobs, newest first.
func (c *ctl) printFailedJobs(jobs []pool.FailedSnapshot) error {
	for _, j := range jobs {
		ago := (time.Duration(j.AgoMS) * time.Millisecond).Round(time.Second)
		if _, err := fmt.Fprintf(c.stdout, "\njob %s failed %s ago: %s\n", j.ID, ago, j.Cause); err != nil {
			return err
		}
	}
	return nil
}

// printMalformed prints a table of the entries that the gateway could not decode, if there are any.
func (c *ctl) printMalformed(entries []malformed.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	rows := []row{{"UNREADABLE", "FROM OR KEY", "BYTES", "SEEN", "CAUSE"}}
	for _, e := range entries {
		rows = append(rows, row{string(e.Kind), e.Name, fmt.Sprint(e.Bytes), fmt.Sprint(e.Seen), e.Cause})
	}
	if _, err := fmt.Fprintln(c.stdout); err != nil {
		return err
	}
	return c.printTable(rows)
}

func poolWorkerRows(workers []pool.WorkerSnapshot) []row {
	rows := []row{{"WORKER", "STANDING", "RACK", "TASKS", "FREE", "PACE", "HEARD", "INSTANCE", "BORN"}}
	for _, w := range workers {
		rows = append(rows, row{
			w.Agent, workerStatus(w), w.Rack, fmt.Sprint(w.Tasks), w.Free, paceText(w), fmt.Sprintf("%d ms ago", w.LastReplyAgoMS),
			w.Instance, orUnknown(w.Started),
		})
	}
	return rows
}

// paceText returns a worker's pace, which is how many times as long as usual its runs take, and the number of runs
// from which it is estimated.
func paceText(w pool.WorkerSnapshot) string {
	if w.PaceRuns < 1 {
		return "unknown"
	}
	return fmt.Sprintf("%.2f (%.0f runs)", w.Pace, w.PaceRuns)
}

// orUnknown returns the text, or "unknown" if it is empty.
func orUnknown(text string) string {
	if text == "" {
		return "unknown"
	}
	return text
}

// workerStatus describes in a word or two whether a worker gets work.
func workerStatus(w pool.WorkerSnapshot) string {
	switch {
	case w.Instance == "":
		return "unknown"
	case w.Draining:
		return "draining"
	case w.Evacuated:
		return "evacuated"
	case w.NotReady:
		return "not ready"
	case w.Quarantined:
		return "set aside"
	case !w.Usable:
		return "silent"
	case w.OnProbation:
		return "on trial"
	case w.MissingCapacity != "":
		return "shrunk"
	case w.Slow:
		return "slow"
	default:
		return "usable"
	}
}

// poolQueueRows returns a table of the queues with their service levels.
func poolQueueRows(queues []pool.QueueSnapshot) []row {
	rows := []row{{"QUEUE", "SERVICE", "WAITING", "OVERDUE", "IN TIME", "LATE", "FAILED", "CANCELLED"}}
	for _, q := range queues {
		rows = append(rows, row{
			q.Queue, fmt.Sprintf("%.2f", q.Level), fmt.Sprint(q.Waiting), fmt.Sprint(q.Overdue),
			fmt.Sprint(q.InTime), fmt.Sprint(q.Late), fmt.Sprint(q.Failed), fmt.Sprint(q.Cancelled),
		})
	}
	return rows
}

func poolJobRows(jobs []pool.JobSnapshot) []row {
	rows := []row{{"JOB", "QUEUE", "WORKSPACE", "STATE", "DONE", "PLACED", "FAILURES", "CRASHES", "DUE"}}
	for _, j := range jobs {
		rows = append(rows, row{
			j.ID, j.Queue, j.Workspace, j.State,
			fmt.Sprintf("%d of %d", j.Done, j.Groups), fmt.Sprint(j.Placed), fmt.Sprint(j.Failures), fmt.Sprint(j.Crashes),
			fmt.Sprintf("in %s", (time.Duration(j.DueInMS) * time.Millisecond).Round(time.Second)),
		})
	}
	return rows
}

// printWaitingJobs prints for each job why its starts were rejected, and if it waits without a placed task, why the workers
// do not take it.
func (c *ctl) printWaitingJobs(jobs []pool.JobSnapshot) error {
	for _, j := range jobs {
		if j.Rejected != "" {
			if _, err := fmt.Fprintf(c.stdout, "\njob %s: workers reject its starts: %s\n", j.ID, j.Rejected); err != nil {
				return err
			}
		}
		if j.WaitReason == "" {
			continue
		}
		if _, err := fmt.Fprintf(c.stdout, "\njob %s waits; workers: %s\n  %s\n", j.ID, j.WaitReason, j.Shortage); err != nil {
			return err
		}
	}
	return nil
}
