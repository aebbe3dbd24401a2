package hall

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/wire"
)

func gangSpec(tasks, accelerators int32) *wire.JobSpec {
	return &wire.JobSpec{
		Workspace: "captions",
		Shape:     &wire.Shape{Accelerators: accelerators},
		Tasks:     tasks,
		Command:   []string{"run", "3s"},
	}
}

// repeatableSpec returns the spec of a repeatable job with one task that occupies a worker for a given time.
func repeatableSpec(length string) *wire.JobSpec {
	spec := gangSpec(1, 8)
	spec.Repeatable = true
	spec.Command = []string{"run", length}
	return spec
}

// A job that runs for longer than a long store outage is neither ended nor run again because of it.
func TestLongStoreOutageInterruptsNoRunningJob(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 8)
	s.run(2 * time.Second)
	s.submit("transcode", repeatableSpec("15m"))
	s.run(5 * time.Second)
	s.storeDown = true
	s.run(10 * time.Minute)
	s.storeDown = false
	s.run(10 * time.Minute)
	is.Equal(s.runsOf("transcode"), map[string]int{"0": 1})
	is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
}

// dropNext drops the next message whose description begins with what. It delivers the messages before it.
func (s *sim) dropNext(t *testing.T, what string) {
	t.Helper()
	for range 10_000 {
		for i, m := range s.messages {
			if strings.HasPrefix(m.what, what) {
				s.deliverOrDrop(i, true)
				return
			}
		}
		s.deliverWaiting()
		s.advance(10 * time.Millisecond)
	}
	t.Fatalf("no message %q was sent", what)
}

func TestGangDoesNotRunWhenOnePartIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSim(16, 8)
	s.run(2 * time.Second)
	// The last agent rejects new work, which it has not reported to the holder yet.
	s.nodes[15].core.Leave()
	s.submit("gang", gangSpec(16, 8))
	s.run(30 * time.Second)
	is.Equal(len(s.runsOf("gang")), 0)
	is.Equal(s.row("gang").GetState(), wire.JobState_QUEUED)
	is.Equal(s.row("gang").GetExecution(), wire.Execution_NOT_RUN)

	// After the agent has restarted, all tasks of the gang run.
	s.restartAgent(s.nodes[15])
	s.run(30 * time.Second)
	is.Equal(len(s.runsOf("gang")), 16)
	is.Equal(s.row("gang").GetState(), wire.JobState_FINISHED)
}

func TestNothingStartsBeforeItsPlacementIsCommitted(t *testing.T) {
	is := is.New(t)
	s := newSim(4, 8)
	s.run(2 * time.Second)
	s.submit("gang", gangSpec(4, 8))
	for !s.accepted["gang"] {
		s.deliverWaiting()
	}
	s.storeDown = true
	s.run(20 * time.Second)
	is.Equal(len(s.runsOf("gang")), 0)
	s.storeDown = false
	s.run(30 * time.Second)
	is.Equal(len(s.runsOf("gang")), 4)
	is.Equal(len(s.violations), 0)
}

func TestLostAnswersCauseOneRun(t *testing.T) {
	for _, lost := range []string{"started", "start answered", "start unanswered", "tasks of", "committed", "prepare answered"} {
		t.Run(lost, func(t *testing.T) {
			is := is.New(t)
			s := newSim(2, 8)
			s.run(2 * time.Second)
			s.submit("caption", gangSpec(1, 1))
			if lost == "start unanswered" {
				// The request to the worker itself is lost.
				s.dropNext(t, "start caption")
			} else {
				s.dropNext(t, lost)
			}
			s.run(time.Minute)
			is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
			is.Equal(s.row("caption").GetState(), wire.JobState_FINISHED)
		})
	}
}

func TestReplacedVMDoesNotReportForTheOldOne(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %t", takeover), func(t *testing.T) {
			is := is.New(t)
			s := newSim(1, 8)
			s.run(2 * time.Second)
			s.submit("caption", gangSpec(1, 8))
			// The old VM starts the task, but is replaced before it can report the start.
			s.dropNext(t, "started")
			s.replaceVM(s.nodes[0])
			if takeover {
				// The new holder has never received a reply from the old VM's agent.
				s.newestHolder().dead = true
				s.takeOver()
			}
			s.run(5 * time.Minute)
			is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
			is.Equal(s.row("caption").GetState(), wire.JobState_UNKNOWN)
			is.True(s.row("caption").GetExecution() != wire.Execution_NOT_RUN)
		})
	}
}

func TestRestartedAgentAwaitsEarlierStarts(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	s.submit("caption", gangSpec(1, 8))
	// The old agent sends the task to its worker and is killed. The worker receives the request late.
	var late *message
	for late == nil {
		for i, m := range s.messages {
			if m.what == "start caption~1~0" {
				late = m
				s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
				break
			}
		}
		s.deliverWaiting()
		s.advance(10 * time.Millisecond)
	}
	s.restartAgent(s.nodes[0])
	s.run(3 * time.Second)
	late.deliver()
	s.run(2 * time.Minute)
	// The task ran once and was stopped, and the job's record shows that it ran.
	is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
	is.Equal(s.row("caption").GetState(), wire.JobState_FAILED)
	is.Equal(s.row("caption").GetExecution(), wire.Execution_RAN)
}

func TestPausedHolderWritesNothingAfterATakeover(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 8)
	s.run(2 * time.Second)
	old := s.newestHolder()
	s.submit("caption", gangSpec(1, 8))
	old.paused = true
	s.takeOver()
	s.run(time.Minute)
	old.paused = false
	s.run(time.Minute)
	is.True(old.dead)
	// The job's row was never written, so the job was not accepted.
	is.True(!s.accepted["caption"])
	is.Equal(s.row("caption"), nil)
	is.Equal(len(s.runsOf("caption")), 0)
}

func TestStoreOutageRejectsSubmitsAndKeepsJobs(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 8)
	s.run(2 * time.Second)
	s.submit("running", gangSpec(1, 8))
	s.run(time.Second)
	s.storeDown = true
	s.submit("early", gangSpec(1, 8))
	s.run(10 * time.Second)

	var refusal *wire.Refusal
	s.newestHolder().core.Submit(s.now, &wire.SubmitRequest{Id: "late", Spec: gangSpec(1, 8)}, func(_ *wire.Job, _ bool, r *wire.Refusal) { refusal = r })
	is.Equal(refusal.GetKind(), wire.Refusal_STORE_UNAVAILABLE)
	is.True(refusal.GetRetryAfterMs() > 0)
	is.True(!s.accepted["early"])
	s.run(10 * time.Minute)
	is.Equal(s.runsOf("running"), map[string]int{"0": 1})

	s.storeDown = false
	s.run(time.Minute)
	is.Equal(s.row("running").GetState(), wire.JobState_FINISHED)
	// The job whose caller was refused has been withdrawn and can be submitted again.
	is.Equal(s.row("early"), nil)
	s.submit("early", gangSpec(1, 8))
	s.run(time.Minute)
	is.Equal(s.row("early").GetState(), wire.JobState_FINISHED)
}

func TestRepeatedCancelIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	spec := gangSpec(1, 8)
	spec.Command = []string{"run", "1h"}
	s.submit("caption", spec)
	s.run(2 * time.Second)
	// The agent is unreachable, so the job cannot be stopped yet.
	s.nodes[0].partitioned = true
	s.cancel("caption")
	s.run(2 * time.Second)
	is.True(s.lastAnswer["caption"].GetCancelRequested())
	answered := false
	s.newestHolder().core.Cancel(s.now, "caption", func(job *wire.Job, refusal *wire.Refusal) {
		answered = refusal == nil && job.GetCancelRequested()
	})
	is.True(answered)
}

func TestOutcomeIsKeptUntilItIsCommitted(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	s.submit("caption", gangSpec(1, 8))
	s.run(2 * time.Second)
	// The job ends while the store is unavailable, and the holder is killed before the store recovers.
	s.storeDown = true
	s.run(20 * time.Second)
	s.newestHolder().dead = true
	s.takeOver()
	s.storeDown = false
	s.run(time.Minute)
	is.Equal(s.row("caption").GetState(), wire.JobState_FINISHED)
	is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
}

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	leave := map[string]func(s *sim){
		"its own word": func(s *sim) { s.nodes[0].core.Leave() },
		"an operator": func(s *sim) {
			s.newestHolder().core.SetConfiguration(&wire.Configuration{Version: 2, Workspaces: s.config.GetWorkspaces(), DrainedWorkers: []string{"w0"}})
		},
		"the list of VMs": func(s *sim) {
			vms := s.vms()
			vms[0].Leaving = true
			s.newestHolder().core.SetVMs(s.now, vms)
		},
		"gone from the list": func(s *sim) { s.newestHolder().core.SetVMs(s.now, s.vms()[1:]) },
	}
	for name, do := range leave {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(2, 8)
			s.run(2 * time.Second)
			s.submit("before", gangSpec(2, 8))
			s.run(time.Second)
			do(s)
			s.submit("after-1", gangSpec(1, 8))
			s.submit("after-2", gangSpec(1, 8))
			s.run(time.Minute)
			// Jobs that run on the worker continue to their end; later jobs are placed on the other worker.
			is.Equal(s.row("before").GetState(), wire.JobState_FINISHED)
			for _, id := range []string{"after-1", "after-2"} {
				is.Equal(s.row(id).GetState(), wire.JobState_FINISHED)
				is.Equal(s.row(id).GetPlacement()[0].GetWorker(), "w1")
			}
		})
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	newer := &wire.Configuration{Version: 7, Workspaces: s.config.GetWorkspaces()}
	s.newestHolder().core.SetConfiguration(newer)
	s.run(5 * time.Second)
	s.newestHolder().core.SetConfiguration(s.config)
	is.Equal(s.newestHolder().core.Configuration().GetVersion(), uint64(7))
	// Another holder that has read only the old configuration does not make the agent return to it.
	s.takeOver()
	s.run(5 * time.Second)
	is.Equal(s.nodes[0].core.State(s.now).ConfigVersion, uint64(7))
}

func TestTaskStopsWhenItsLeaseIsNotRenewed(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	spec := gangSpec(1, 8)
	spec.Command = []string{"run", "10m"}
	s.submit("caption", spec)
	s.run(3 * time.Second)
	cutAt := s.now
	s.nodes[0].partitioned = true
	s.run(2 * time.Minute)
	record := s.allRuns()
	is.Equal(record[0].State, platform.TaskStopped)
	is.True(record[0].Ended.Before(cutAt.Add(s.settings.leaseBound(1))))
	// The holder has concluded that the task has stopped, although it cannot reach the agent.
	is.Equal(s.row("caption").GetState(), wire.JobState_UNKNOWN)
	is.Equal(s.row("caption").GetExecution(), wire.Execution_RAN)
}

func TestRepeatableJobOnAnUnreachableAgentRunsElsewhere(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 8)
	s.run(2 * time.Second)
	s.submit("transcode", repeatableSpec("1m"))
	s.run(3 * time.Second)
	s.node(s.row("transcode").GetPlacement()[0].GetWorker()).partitioned = true
	s.run(3 * time.Minute)
	is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
	is.Equal(s.row("transcode").GetAttempt(), int32(2))
}

func TestPreemptedJobResumesFromItsCheckpoint(t *testing.T) {
	for _, checkpointable := range []bool{true, false} {
		t.Run(fmt.Sprintf("checkpointable %t", checkpointable), func(t *testing.T) {
			is := is.New(t)
			s := newSim(1, 8)
			s.run(2 * time.Second)
			spec := gangSpec(1, 8)
			spec.Workspace = "archive"
			spec.Repeatable = true
			spec.Checkpointable = checkpointable
			spec.Command = []string{"run", "40s"}
			s.submit("thumbnails", spec)
			s.run(20 * time.Second)
			// The guarantee is claimed while the archive workspace borrows all of it.
			s.submit("caption", gangSpec(1, 8))
			s.run(2 * time.Minute)
			is.Equal(s.row("caption").GetState(), wire.JobState_FINISHED)
			is.Equal(s.row("thumbnails").GetState(), wire.JobState_FINISHED)
			is.Equal(s.row("thumbnails").GetAttempt(), int32(2))
			worked := time.Duration(0)
			for _, run := range s.allRuns() {
				if strings.HasPrefix(run.Key, "thumbnails") {
					worked += run.Ended.Sub(run.Started)
				}
			}
			is.Equal(worked < 42*time.Second, checkpointable)
		})
	}
}
