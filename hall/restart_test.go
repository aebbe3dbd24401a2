package hall

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/agent"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/platform/standin"
	"hollyfork.example/wire"
)

// withhold takes the next message whose description begins with what out of transit, so that a test can deliver it
// late. It delivers the messages before it.
func (s *sim) withhold(t *testing.T, what string) *message {
	t.Helper()
	for range 10_000 {
		for i, m := range s.messages {
			if strings.HasPrefix(m.what, what) {
				s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
				return m
			}
		}
		s.deliverWaiting()
		s.advance(10 * time.Millisecond)
	}
	t.Fatalf("no message %q was sent", what)
	return nil
}

// runUntil runs the simulation until a condition holds.
func (s *sim) runUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for range 10_000 {
		if holds() {
			return
		}
		s.deliverWaiting()
		s.advance(10 * time.Millisecond)
	}
	t.Fatal("the condition never held")
}

// replaceCutOffVM replaces a node's VM while the tasks on the old one run on until their leases end.
func (s *sim) replaceCutOffVM(n *node) {
	n.vmNumber++
	n.worker = standin.NewWorker(n.vm.Name, s.checkpoints)
	n.allWorkers = append(n.allWorkers, n.worker)
	s.restartAgent(n)
}

// restartWorker restarts the agent and the worker on a node's VM. The worker's tasks end, and it forgets them.
func (s *sim) restartWorker(n *node) {
	n.vmNumber--
	s.replaceVM(n)
}

// checkOneAtATime fails the test if a task of a job began to run while an earlier run of it still ran.
func (s *sim) checkOneAtATime(t interface {
	Helper()
	Errorf(format string, args ...any)
},
) {
	t.Helper()
	runs := s.allRuns()
	slices.SortStableFunc(runs, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
	latest := map[string]standin.Run{}
	for _, run := range runs {
		job, rest, _ := strings.Cut(run.Key, "~")
		_, index, _ := strings.Cut(rest, "~")
		task := job + "~" + index
		earlier, ok := latest[task]
		if ok && (earlier.State == platform.TaskRunning || earlier.Ended.After(run.Started)) {
			t.Errorf("%s began %v before %s ended", run.Key, earlier.Ended.Sub(run.Started), earlier.Key)
		}
		latest[task] = run
	}
}

// A restarted agent doesn't report an attempt as ended while another task of it may still start.
func TestRestartedAgentReportsNoEndBeforeAnotherTaskStarts(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	spec := gangSpec(2, 1)
	spec.Command = []string{"run", "100ms"}
	s.submit("captions", spec)
	late := s.withhold(t, "start captions~1~1")
	s.run(time.Second)
	s.restartAgent(s.nodes[0])
	s.run(3 * time.Second)
	is.True(!isFinal(s.row("captions").GetState()))
	late.deliver()
	s.run(time.Minute)
	is.Equal(s.runsOf("captions"), map[string]int{"0": 1, "1": 1})
	is.Equal(s.row("captions").GetState(), wire.JobState_FINISHED)
}

// A new holder doesn't take the part on a replaced VM for ended before the leases on the old VM have ended.
func TestNewHolderAwaitsTheLeasesOnAReplacedVM(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %t", takeover), func(t *testing.T) {
			is := is.New(t)
			s := newSim(2, 8)
			s.run(2 * time.Second)
			s.submit("transcode", repeatableSpec("1m"))
			s.run(5 * time.Second)
			s.replaceCutOffVM(s.node(s.row("transcode").GetPlacement()[0].GetWorker()))
			if takeover {
				s.newestHolder().dead = true
				s.takeOver()
			}
			s.run(3 * time.Minute)
			s.checkOneAtATime(t)
			is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
		})
	}
}

// A holder awaits the leases that it gave itself on a VM that is replaced long after it has taken the hall.
func TestHolderAwaitsItsOwnLeasesOnAReplacedVM(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 8)
	s.run(2 * time.Second)
	s.submit("transcode", repeatableSpec("3m"))
	s.run(time.Minute)
	s.replaceCutOffVM(s.node(s.row("transcode").GetPlacement()[0].GetWorker()))
	s.run(5 * time.Minute)
	s.checkOneAtATime(t)
	is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
}

// An acknowledgement that an earlier holder's attempt calls for doesn't delete the end of a later attempt.
func TestLateAcknowledgementDoesNotDeleteAnotherAttemptsEnd(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	spec := gangSpec(1, 8)
	spec.Command = []string{"run", "100ms"}
	s.submit("caption", spec)
	// The holder is killed after it has reserved the accelerators, and the reservation expires.
	s.withhold(t, "prepare answered")
	s.newestHolder().dead = true
	s.run(11 * time.Second)
	s.takeOver()
	s.run(500 * time.Millisecond)
	late := s.withhold(t, "sync to w0")
	late.timeOut()
	s.runUntil(t, func() bool { return s.row("caption").GetState() == wire.JobState_STARTING })
	s.runUntil(t, func() bool { return agentReportsEnd(s.nodes[0], "caption") })
	s.deliverWaiting() // No list of the worker is in transit any more.
	late.deliver()
	s.run(time.Minute)
	is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
	is.Equal(s.row("caption").GetState(), wire.JobState_FINISHED)
}

func agentReportsEnd(n *node, job string) bool {
	for _, a := range n.core.State(time.Time{}).Attempts {
		if a.Job == job && a.State == wire.AttemptState_ENDED.String() {
			return true
		}
	}
	return false
}

// A new holder doesn't start a job whose cancellation was committed with its placement.
func TestNewHolderDoesNotStartACancelledJob(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	s.submit("caption", gangSpec(1, 8))
	answer := s.withhold(t, "prepare answered")
	h := s.newestHolder()
	h.committing = true // A renewal of the hall's lease is in transit.
	answer.deliver()
	s.cancel("caption")
	h.committing = false
	s.sendPending(h)
	s.withhold(t, "committed")
	h.dead = true
	is.Equal(s.row("caption").GetState(), wire.JobState_STARTING)
	is.True(s.row("caption").GetCancelRequested())
	s.takeOver()
	changes, _, _ := s.newestHolder().core.Changes(0, 1)
	is.Equal(changes[0].GetState(), wire.JobState_STARTING) // Watchers see committed records only.
	s.run(time.Minute)
	is.Equal(len(s.runsOf("caption")), 0)
	is.Equal(s.row("caption").GetState(), wire.JobState_CANCELLED)
}

// A new holder doesn't run a job again that ran before it was being stopped, though worker and agent have forgotten it.
func TestNewHolderKnowsThatAStoppingJobRan(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	spec := gangSpec(1, 8)
	spec.Command = []string{"run", "1h"}
	s.submit("caption", spec)
	s.run(5 * time.Second)
	is.Equal(s.row("caption").GetState(), wire.JobState_RUNNING)
	s.restartWorker(s.nodes[0])
	s.runUntil(t, func() bool { return s.row("caption").GetState() == wire.JobState_STOPPING })
	s.newestHolder().dead = true
	s.takeOver()
	s.run(2 * time.Minute)
	is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
	is.Equal(s.row("caption").GetExecution(), wire.Execution_RAN)
}

// A new holder that counts fewer agents than the one before awaits the leases that that one gave.
func TestNewHolderAwaitsTheLeasesOfALargerHall(t *testing.T) {
	s := newSim(8, 8)
	s.settings.SyncSpacing = 2 * time.Second
	s.newestHolder().dead = true
	s.takeOver()
	s.run(20 * time.Second)
	s.submit("transcode", repeatableSpec("2m"))
	s.run(20 * time.Second)
	placed := s.node(s.row("transcode").GetPlacement()[0].GetWorker())
	s.newestHolder().dead = true
	// Most VMs are taken out of the list.
	all := s.nodes
	s.nodes = []*node{placed}
	for _, n := range all {
		if n != placed && len(s.nodes) < 2 {
			s.nodes = append(s.nodes, n)
		}
	}
	placed.partitioned = true
	s.takeOver()
	s.run(5 * time.Minute)
	s.checkOneAtATime(t)
}

// Of two renewals that overlap, the reply to the second doesn't drop an acknowledgement that neither has sent.
func TestOverlappingSyncsDropNoAcknowledgement(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	core, n := s.newestHolder().core, s.nodes[0]
	a := core.agents["w0"]
	a.acknowledge(&wire.AttemptId{Job: "first", Attempt: 1})
	requests := []*wire.SyncRequest{core.NextSync(s.now, "w0"), core.NextSync(s.now, "w0")}
	a.acknowledge(&wire.AttemptId{Job: "second", Attempt: 1})
	for _, request := range requests {
		reply, _ := n.core.Sync(s.now, request)
		core.HandleSyncReply(s.now, "w0", request, reply)
	}
	settled := core.NextSync(s.now, "w0").GetSettled()
	is.Equal(len(settled), 1)
	is.Equal(settled[0].GetJob(), "second")
}

// An earlier holder that is cut off from the store doesn't keep a task running that a new holder counts as ended.
func TestHolderCutOffFromTheStoreKeepsNoTaskRunning(t *testing.T) {
	s := newSim(2, 8)
	s.run(2 * time.Second)
	s.submit("transcode", repeatableSpec("2m"))
	s.run(5 * time.Second)
	placed := s.node(s.row("transcode").GetPlacement()[0].GetWorker())
	old := s.newestHolder()
	old.committing = true // A transaction that never gets an answer.
	s.takeOver()
	s.newestHolder().unreachable = placed
	s.run(5 * time.Minute)
	s.checkOneAtATime(t)
}

// A restarted agent doesn't report its attempts before it knows which tasks its worker runs.
func TestRestartedAgentReportsNothingBeforeItsFirstListing(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	spec := gangSpec(1, 8)
	spec.Command = []string{"run", "20s"}
	s.submit("caption", spec)
	s.run(5 * time.Second)
	s.restartAgent(s.nodes[0])
	for end := s.now.Add(5 * time.Second); s.now.Before(end); s.advance(100 * time.Millisecond) {
		s.messages = slices.DeleteFunc(s.messages, func(m *message) bool { return strings.HasPrefix(m.what, "list tasks") })
		s.deliverWaiting()
	}
	s.run(time.Minute)
	is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
	is.Equal(s.row("caption").GetState(), wire.JobState_FINISHED)
}

// A restarted agent accepts no work before it has read from the store which holder is the present one.
func TestRestartedAgentAcceptsNoWorkBeforeItKnowsTheEpoch(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	s.restartAgent(s.nodes[0])
	s.nodes[0].core = agent.NewCore(s.now, "w0-unlearned", "w0-m1")
	s.submit("caption", gangSpec(1, 8))
	s.run(10 * time.Second)
	is.Equal(len(s.runsOf("caption")), 0)
	s.nodes[0].core.LearnEpoch(s.storedLease().GetEpoch())
	s.run(time.Minute)
	is.Equal(s.runsOf("caption"), map[string]int{"0": 1})
}

// A restarted agent reserves nothing before it knows which accelerators its worker's tasks use.
func TestRestartedAgentReservesNothingBeforeItsFirstListing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	core := agent.NewCore(now, "new", "machine")
	core.LearnEpoch(1)
	core.Sync(now, &wire.SyncRequest{Epoch: 1, Incarnation: "new", LeaseMs: 20_000})
	request := &wire.PrepareRequest{Epoch: 1, Incarnation: "new", Id: &wire.AttemptId{Job: "caption", Attempt: 1}}
	is.Equal(core.Prepare(now, request).GetRefusal().GetKind(), wire.Refusal_BUSY)
	core.Listed(now, nil)
	is.Equal(core.Prepare(now, request).GetRefusal(), nil)
}

// A restarted agent takes neither a lease nor work that was meant for its predecessor.
func TestRestartedAgentRefusesWhatWasMeantForItsPredecessor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	core := agent.NewCore(now, "new", "machine")
	core.LearnEpoch(1)
	core.Listed(now, nil)
	// The token is a reading of the predecessor's clock, which had run for an hour.
	core.Sync(now, &wire.SyncRequest{Epoch: 1, Incarnation: "old", LeaseToken: int64(time.Hour), LeaseMs: 20_000})
	is.Equal(core.State(now).LeaseLeftMS, int64(0))
	core.Sync(now, &wire.SyncRequest{Epoch: 1, Incarnation: "new", LeaseMs: 20_000})
	request := &wire.PrepareRequest{Epoch: 1, Incarnation: "old", Id: &wire.AttemptId{Job: "caption", Attempt: 1}}
	is.Equal(core.Prepare(now, request).GetRefusal().GetKind(), wire.Refusal_WRONG_INCARNATION)
}

// A holder counts a part as ended only when the leases have ended that it, or the holder before it, renewed.
func TestHolderAwaitsTheLeasesOfAnUnreachableAgent(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %t", takeover), func(t *testing.T) {
			is := is.New(t)
			s := newSim(2, 8)
			s.run(2 * time.Second)
			s.submit("transcode", repeatableSpec("2m"))
			s.run(time.Minute)
			s.node(s.row("transcode").GetPlacement()[0].GetWorker()).partitioned = true
			if takeover {
				s.newestHolder().dead = true
				s.takeOver()
			}
			s.run(5 * time.Minute)
			s.checkOneAtATime(t)
			is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
		})
	}
}

// A restarted agent gets no lease that counts from a reading of its predecessor's clock.
func TestRestartedAgentGetsNoLongerLease(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(5 * time.Minute)
	s.restartAgent(s.nodes[0])
	s.run(10 * time.Second)
	left := s.nodes[0].core.State(s.now).LeaseLeftMS
	is.True(left > 0)
	is.True(left <= s.settings.AgentLease.Milliseconds())
}

// A new holder awaits the leases of a part on a VM that is not listed any more.
func TestNewHolderAwaitsTheLeasesOnAVMThatIsNotListed(t *testing.T) {
	s := newSim(2, 8)
	s.run(2 * time.Second)
	s.submit("transcode", repeatableSpec("2m"))
	s.run(time.Minute)
	worker := s.row("transcode").GetPlacement()[0].GetWorker()
	s.newestHolder().dead = true
	all := s.nodes
	s.nodes = slices.DeleteFunc(slices.Clone(all), func(n *node) bool { return n.vm.Name == worker })
	s.takeOver()
	s.nodes = all
	s.run(5 * time.Minute)
	s.checkOneAtATime(t)
}

// A reply of the agent on a replaced VM that arrives after one of its successor isn't taken for a replacement of the new VM.
func TestLateReplyFromAReplacedVMLosesNoPart(t *testing.T) {
	is := is.New(t)
	s := newSim(2, 8)
	s.run(2 * time.Second)
	core := s.newestHolder().core
	requests, late := map[string]*wire.SyncRequest{}, map[string]*wire.SyncReply{}
	for _, n := range s.nodes {
		requests[n.vm.Name] = core.NextSync(s.now, n.vm.Name)
		late[n.vm.Name], _ = n.core.Sync(s.now, requests[n.vm.Name])
		s.replaceVM(n)
	}
	s.run(5 * time.Second)
	s.submit("transcode", repeatableSpec("2m"))
	s.run(5 * time.Second)
	worker := s.row("transcode").GetPlacement()[0].GetWorker()
	core.HandleSyncReply(s.now, worker, requests[worker], late[worker])
	s.run(15 * time.Second)
	if s.row("transcode").GetState() != wire.JobState_RUNNING {
		t.Errorf("the job is %v: %s", s.row("transcode").GetState(), s.row("transcode").GetReason())
	}
	s.node(worker).partitioned = true
	s.run(5 * time.Minute)
	s.checkOneAtATime(t)
	is.Equal(s.row("transcode").GetState(), wire.JobState_FINISHED)
}

// Of two renewals that overlap, a late reply to the first doesn't make a leaving worker available again.
func TestLateReplyDoesNotRecallALeavingWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 8)
	s.run(2 * time.Second)
	core, n := s.newestHolder().core, s.nodes[0]
	is.True(core.agents["w0"].available)
	first, second := core.NextSync(s.now, "w0"), core.NextSync(s.now, "w0")
	late, _ := n.core.Sync(s.now, first)
	s.now = s.now.Add(time.Millisecond)
	n.core.Leave()
	reply, _ := n.core.Sync(s.now, second)
	core.HandleSyncReply(s.now, "w0", second, reply)
	is.True(!core.agents["w0"].available)
	core.HandleSyncReply(s.now, "w0", first, late)
	is.True(!core.agents["w0"].available)
}
