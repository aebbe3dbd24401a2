package holder

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process"
)

// logLine returns what a holder logs for an event.
func logLine(e pool.Event) string {
	var out bytes.Buffer
	h := New("encoders", "gateway-0", "", pool.DefaultSettings(), Deps{Metrics: metrics.NewSet(), Logger: process.NewLogger(&out, "info")})
	h.logEvent(7, e)
	return out.String()
}

// Guards against lines that a search for a task's name doesn't find: an incident's record held none of a holder's.
func TestLinesOnRunsNameTheTaskAsItsWorkerDoes(t *testing.T) {
	is := is.New(t)
	task := job.TaskID{Job: "5c0e7a21d94b36f8", Round: 3, Step: 1, Index: 17}
	line := logLine(pool.Event{Kind: pool.EventStarted, Job: task.Job, Task: task, Run: 2, Worker: "sidecar-1", Detail: "i-1"})
	is.True(strings.Contains(line, `"job":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.3.1.17","run":2,"epoch":7,"worker":"sidecar-1"`))
	line = logLine(pool.Event{Kind: pool.EventJobEnded, Job: task.Job, Detail: "done"})
	is.True(strings.Contains(line, `"job":"5c0e7a21d94b36f8","detail":"done"`))
}

// Guards against a lost run whose line doesn't tell whether the agent or the holder's own count said so.
func TestLineOnALostRunTellsWhatWasKnown(t *testing.T) {
	is := is.New(t)
	task := job.TaskID{Job: "5c0e7a21d94b36f8"}
	line := logLine(pool.Event{
		Kind: pool.EventRunLost, Job: task.Job, Task: task, Run: 1, Worker: "sidecar-1",
		Contact: &pool.Contact{Incarnation: "2kq9", SinceReply: 20 * time.Millisecond, SinceListing: 900 * time.Millisecond, LeaseRemaining: 4 * time.Second},
	})
	is.True(strings.Contains(line, `"incarnation":"2kq9","replied_ago_ms":20,"listed_ago_ms":900,"lease_left_ms":4000`))
}

// Guards against orders without a reply of which nobody can tell the runs.
func TestUnansweredOrdersNameTheirRuns(t *testing.T) {
	is := is.New(t)
	orders := pool.Orders{Stops: []pool.Stop{{Task: job.TaskID{Job: "5c0e7a21d94b36f8"}, Run: 1}}}
	for i := range 20 {
		orders.Starts = append(orders.Starts, pool.Start{Task: job.TaskID{Job: "5c0e7a21d94b36f8", Round: 3, Index: i}, Run: 2})
	}
	names := orderedRuns(orders)
	is.Equal(len(names), maxLoggedRuns)
	is.Equal(names[15], "5c0e7a21d94b36f8.3.0.15/2")
	orders.Starts = nil
	is.Equal(orderedRuns(orders), []string{"5c0e7a21d94b36f8.0.0.0/1"})
}

// Guards against a holder that gave no orders for a time and whose log doesn't say so.
func TestLapseOfTheHoldersLeaseIsLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	h := newTestHolder(t, LeaseValidity+time.Second)
	h.host.deps.Logger = process.NewLogger(&out, "info")
	h.handleCommitResult(h.now(), commitResult{sent: h.now()})
	is.True(strings.Contains(out.String(), `"epoch":7,"lapsed_for":10`)) // 1 s, in milliseconds
	is.Equal(strings.Count(out.String(), "its lease had lapsed and is confirmed again"), 1)
	h.handleCommitResult(h.now(), commitResult{sent: h.now()})
	is.Equal(strings.Count(out.String(), "its lease had lapsed and is confirmed again"), 1)
}
