package pooltest

import (
	"slices"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

// Guards against starts on a draining worker that was restarted under the same identifier. A worker numbers its
// heartbeats from 1 each time its process starts. An agent that compares the numbers of different instances takes the
// heartbeats of the new instance for older ones of the ended instance: it acknowledges but ignores them, including the
// one that reports draining, and goes on sending starts. These are lost when the worker ends. The agent's log:
//
//	agent: late heartbeat ignored, "instance":"worker-0","sequence":6,"draining":true,"known_sequence":18,"known_draining":false
//	agent: order handled, "order":"start","result":"OK"
func TestNoStartsOnADrainingWorkerThatWasRestarted(t *testing.T) {
	t.Parallel()
	c := cluster.New(t, 1, 2)
	draining := c.Workers[0]
	draining.SetInstanceConfig(fakes.InstanceConfig{ReuseID: true, Downtime: 500 * time.Millisecond})
	c.Submit(1, cluster.TasksJob(16, "100ms")) // both workers are known and run tasks
	c.AwaitState(1, "done")
	for _, uptime := range []time.Duration{3 * time.Second, 300 * time.Millisecond} {
		draining.Crash()
		cluster.Eventually(t, "the worker is back", draining.Up)
		time.Sleep(uptime) // the last instance sends fewer heartbeats than the one before with the same identifier
	}
	c.Submit(2, cluster.TasksJob(16, "100ms"))
	c.AwaitState(2, "done") // the worker's current instance is known and runs tasks
	draining.Drain()
	cluster.Eventually(t, "the notice of draining is acknowledged", draining.DrainAcknowledged)
	time.Sleep(500 * time.Millisecond)
	before := draining.Starts()
	c.Submit(3, cluster.TasksJob(16, "100ms"))
	c.AwaitState(3, "done")
	if starts := draining.Starts() - before; starts > 0 {
		t.Errorf("%d tasks were started on a worker whose notice of draining had been acknowledged", starts)
	}
	c.CheckRuns()
}

// Guards against a leave message that is taken for the end of a worker's runs. The worker sends it while they go on, and
// ends later. Their tasks were started elsewhere at once, beside them.
func TestTasksOfAWorkerThatLeavesRunOnce(t *testing.T) {
	t.Parallel()
	checkLeavingWorker(t, fakes.InstanceConfig{Downtime: time.Minute, LeaveDelay: 500 * time.Millisecond})
}

// Guards against refused connections that are taken for the end of the runs of a worker that leaves. It stops listening
// while they go on, as servers do that shut down in order. Their tasks were started elsewhere at once, beside them.
func TestTasksOfALeavingWorkerThatStopsListeningRunOnce(t *testing.T) {
	t.Parallel()
	checkLeavingWorker(t, fakes.InstanceConfig{Downtime: time.Minute, ClosedDelay: 2 * time.Second})
}

// checkLeavingWorker makes a worker leave whose tasks go on until it has ended.
func checkLeavingWorker(t *testing.T, config fakes.InstanceConfig) {
	t.Helper()
	c := cluster.NewWithInstances(t, 1, 3, config)
	const tasks = 12 // more than one worker takes
	c.Submit(1, cluster.TasksJob(tasks, "3s"))
	cluster.Eventually(t, "all tasks run", func() bool { return c.Runs.Running() == tasks })
	leaving := c.Workers[slices.IndexFunc(c.Workers, func(w *fakes.Worker) bool { return w.RunningCount() > 0 })]
	leaving.SetUnresponsive(true)
	leaving.DrainAndLeave(0)
	c.AwaitState(1, "done")
	c.CheckRuns()
	if c.Runs.StartCount() == tasks {
		t.Error("no task ran on the worker when it left")
	}
}
