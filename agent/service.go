package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/wire"
)

const (
	// ServiceName is the name of the RPC service that an agent provides to its holder.
	ServiceName = "Agent"

	answerTimeout = 5 * time.Second
)

// Agent runs a Core as an actor. Create it with New and stop it with Close.
type Agent struct {
	root        *actor.RootContext
	pid         *actor.PID
	standbyRank *atomic.Int32
	// leased reports whether any holder has called Sync yet.
	leased *atomic.Bool
}

// New starts an agent for a worker. The incarnation must differ from that of every other agent that ever ran. The
// machine identifies the VM and its boot.
func New(now time.Time, system *actor.ActorSystem, worker Worker, incarnation, machine string, logger *log.Logger) *Agent {
	rank := &atomic.Int32{}
	leased := &atomic.Bool{}
	props := actor.PropsFromProducer(func() actor.Actor {
		return &agentActor{
			core:        NewCore(now, incarnation, machine),
			worker:      worker,
			logger:      logger,
			standbyRank: rank,
			leased:      leased,
			stopped:     make(chan struct{}),
		}
	})
	return &Agent{root: system.Root, pid: system.Root.Spawn(props), standbyRank: rank, leased: leased}
}

// Leased reports whether any holder has renewed the agent's lease yet.
func (a *Agent) Leased() bool {
	return a.leased.Load()
}

// StandbyRank returns the rank that the holder last assigned to this process among the standby processes that take
// over the hall when its holder fails; 0 means none.
func (a *Agent) StandbyRank() int {
	return int(a.standbyRank.Load())
}

// LearnEpoch passes the holder's epoch, as read from the store, to the agent. Until then the agent accepts no work.
func (a *Agent) LearnEpoch(epoch uint64) {
	a.root.Send(a.pid, epochLearned{epoch: epoch})
}

// Leave makes the agent refuse new work, and returns once it does so or ctx is done.
func (a *Agent) Leave(ctx context.Context) {
	m := leaveRequest{done: make(chan struct{})}
	a.root.Send(a.pid, m)
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

// State returns a snapshot of the agent's state, for the debug dump.
func (a *Agent) State() (State, error) {
	return call[dumpRequest, State](a, dumpRequest{}, 0)
}

// Close stops the agent. Tasks keep running on the worker until their leases lapse.
func (a *Agent) Close() error {
	if err := a.root.StopFuture(a.pid).Wait(); err != nil {
		return &Error{Op: "close", Kind: KindWorker, Err: err}
	}
	return nil
}

// Service returns the RPC service that the holder calls. It is to be registered under ServiceName.
func (a *Agent) Service() *Service {
	return &Service{agent: a}
}

// call sends a request to the actor and waits for its answer.
func call[Q, R any](a *Agent, request Q, wait time.Duration) (R, error) {
	return mailbox.Call[Q, R](a.root, a.pid, request, wait+answerTimeout)
}

// Service implements the RPC methods of an agent.
type Service struct {
	agent *Agent
}

// Sync renews the agent's lease and returns its report if that has changed.
func (s *Service) Sync(request *wire.SyncRequest, reply *wire.SyncReply) error {
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	answer, err := call[*wire.SyncRequest, *wire.SyncReply](s.agent, request, min(wait, maxSyncWait))
	if err != nil {
		return err
	}
	reply.Refusal = answer.GetRefusal()
	reply.Epoch = answer.GetEpoch()
	reply.Incarnation = answer.GetIncarnation()
	reply.LeaseToken = answer.GetLeaseToken()
	reply.ConfigVersion = answer.GetConfigVersion()
	reply.Leaving = answer.GetLeaving()
	reply.Report = answer.GetReport()
	reply.Attempts = answer.GetAttempts()
	reply.Changed = answer.GetChanged()
	reply.Machine = answer.GetMachine()
	return nil
}

// Prepare reserves accelerators for an attempt.
func (s *Service) Prepare(request *wire.PrepareRequest, reply *wire.PrepareReply) error {
	answer, err := call[*wire.PrepareRequest, *wire.PrepareReply](s.agent, request, 0)
	reply.Refusal = answer.GetRefusal()
	reply.Report = answer.GetReport()
	return err
}

// Start starts a prepared attempt.
func (s *Service) Start(request *wire.StartRequest, reply *wire.StartReply) error {
	answer, err := call[*wire.StartRequest, *wire.StartReply](s.agent, request, 0)
	reply.Refusal = answer.GetRefusal()
	reply.Report = answer.GetReport()
	return err
}

// Revoke prevents an attempt from starting, and stops it if it has started.
func (s *Service) Revoke(request *wire.RevokeRequest, reply *wire.RevokeReply) error {
	answer, err := call[*wire.RevokeRequest, *wire.RevokeReply](s.agent, request, 0)
	reply.Refusal = answer.GetRefusal()
	reply.Report = answer.GetReport()
	return err
}
