package pooltest

import (
	"encoding/json"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/program/cluster"
)

// pauseRecord is the log record that a process writes after it was paused. Times are in milliseconds.
type pauseRecord struct {
	For          float64 `json:"for"`
	Suspended    float64 `json:"suspended"`
	ConfigLapsed bool    `json:"config_lapsed"`
	LeaseLeft    float64 `json:"lease_left"`
	Message      string  `json:"message"`
}

// loggedPauses returns the pauses that a process has logged. On a busy machine a process that got no CPU for long counts
// as paused too.
func loggedPauses(p *cluster.Program) []pauseRecord {
	var records []pauseRecord
	for line := range strings.Lines(p.Output()) {
		record := pauseRecord{}
		if json.Unmarshal([]byte(line), &record) == nil && strings.HasSuffix(record.Message, ": process was paused") {
			records = append(records, record)
		}
	}
	return records
}

// A process that was paused logs for how long, and whether its configuration or lease has expired meanwhile. A test
// cannot suspend the VM, so the suspended time in the record must be near zero.
func TestPausedProcessLogsItsPause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pause = 4 * time.Second // longer than gateway.MaxConfigAge
	c := cluster.New(t, 1, 1)
	var records [2]pauseRecord
	for i, p := range []*cluster.Program{c.Gateways[0], c.Sidecars[0]} {
		earlier := len(loggedPauses(p))
		p.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		p.Signal(syscall.SIGCONT)
		cluster.Eventually(t, "the process logs its pause", func() bool {
			later := loggedPauses(p)[earlier:]
			n := slices.IndexFunc(later, func(r pauseRecord) bool { return r.For > 3000 })
			if n >= 0 {
				records[i] = later[n]
			}
			return n >= 0
		})
		is.True(records[i].Suspended < 100)
	}
	is.True(records[0].ConfigLapsed)
	is.True(records[1].LeaseLeft < 1000) // of a lease of 4.5 s
	c.Submit(1, cluster.TasksJob(1, "100ms"))
	c.AwaitState(1, "done")
}

// Guards against an idle worker that stays unknown after its agent was silent until the worker's lease ended. The
// holder forgets such a worker. Its agent has nothing new to report, so the holder must request a full report.
// Otherwise a job waits without end:
//
//	holder: job waits, "for 26.068s, 1 tasks of 1 accelerators, …; workers: 1 not known yet"
func TestIdleWorkerIsUsableAgainAfterItsLeaseEnded(t *testing.T) {
	t.Parallel()
	c := cluster.New(t, 1, 1)
	c.Submit(1, cluster.TasksJob(1, "100ms"))
	c.AwaitState(1, "done")
	time.Sleep(time.Second) // the end is recorded, and the agent has nothing new to report
	c.Sidecars[0].Signal(syscall.SIGSTOP)
	time.Sleep(6 * time.Second) // longer than the lease
	c.Sidecars[0].Signal(syscall.SIGCONT)
	c.Submit(2, cluster.TasksJob(1, "100ms"))
	c.AwaitState(2, "done")
}
