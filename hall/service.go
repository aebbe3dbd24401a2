package hall

import (
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/wire"
)

const (
	// ServiceName is the name of the RPC service that a holder provides to entries.
	ServiceName = "Hall"

	// requestTimeout bounds how long a request waits for its commit.
	requestTimeout  = 8 * time.Second
	handoverTimeout = 10 * time.Second
)

// Service implements the RPC service of a Host. While another process holds the hall, each method returns a
// refusal with that process's address.
type Service struct {
	host *Host
}

// Service returns the RPC service, for registration under ServiceName.
func (h *Host) Service() *Service {
	return &Service{host: h}
}

// State returns the holder's state. The result ok is false if this process does not hold the hall.
func (h *Host) State() (state State, ok bool) {
	pid, _ := h.current()
	if pid == nil {
		return State{}, false
	}
	state, err := askHolder[dumpRequest, State](h, pid, dumpRequest{}, requestTimeout)
	return state, err == nil
}

func askHolder[Q, R any](h *Host, pid *actor.PID, request Q, timeout time.Duration) (R, error) {
	return mailbox.Call[Q, R](h.deps.System.Root, pid, request, timeout)
}

// notHolder returns the refusal of a process that does not hold the hall. It contains the holder's address
// if that is known.
func notHolder(lease *wire.HolderLease) *wire.Refusal {
	return refuse(wire.Refusal_NOT_HOLDER, lease.GetAddress(), shortRetryAfter)
}

// forward sends a request to the holder's actor. It returns a refusal if there is no holder or the holder
// does not reply in time.
func forward[Q, R any](h *Host, request Q, timeout time.Duration) (R, *wire.Refusal) {
	var none R
	pid, lease := h.current()
	if pid == nil {
		return none, notHolder(lease)
	}
	reply, err := askHolder[Q, R](h, pid, request, timeout)
	if errors.Is(err, mailbox.ErrStopped) {
		return none, notHolder(lease)
	}
	if errors.Is(err, mailbox.ErrNoAnswer) {
		return none, refuse(wire.Refusal_STORE_UNAVAILABLE, "not confirmed in time; repeat the request under the same key", storeRetryAfter)
	}
	return reply, nil
}

// Submit accepts or rejects a job.
func (s *Service) Submit(request *wire.SubmitRequest, reply *wire.SubmitReply) error {
	answer, refusal := forward[*wire.SubmitRequest, *wire.SubmitReply](s.host, request, requestTimeout)
	reply.Job = answer.GetJob()
	reply.Created = answer.GetCreated()
	reply.Refusal = firstRefusal(refusal, answer.GetRefusal())
	return nil
}

// Get returns a job that is in the holder's memory.
func (s *Service) Get(request *wire.GetJobRequest, reply *wire.JobReply) error {
	answer, refusal := forward[*wire.GetJobRequest, *wire.JobReply](s.host, request, requestTimeout)
	reply.Job = answer.GetJob()
	reply.Refusal = firstRefusal(refusal, answer.GetRefusal())
	return nil
}

// List returns the jobs of a workspace that are in the holder's memory.
func (s *Service) List(request *wire.ListJobsRequest, reply *wire.ListJobsReply) error {
	answer, refusal := forward[*wire.ListJobsRequest, *wire.ListJobsReply](s.host, request, requestTimeout)
	reply.Jobs = answer.GetJobs()
	reply.Refusal = firstRefusal(refusal, answer.GetRefusal())
	return nil
}

// Cancel cancels a job.
func (s *Service) Cancel(request *wire.CancelJobRequest, reply *wire.JobReply) error {
	answer, refusal := forward[*wire.CancelJobRequest, *wire.JobReply](s.host, request, requestTimeout)
	reply.Job = answer.GetJob()
	reply.Refusal = firstRefusal(refusal, answer.GetRefusal())
	return nil
}

// Move moves queued jobs to another hall.
func (s *Service) Move(request *wire.MoveRequest, reply *wire.MoveReply) error {
	answer, refusal := forward[*wire.MoveRequest, *wire.MoveReply](s.host, request, requestTimeout)
	reply.Accelerators = answer.GetAccelerators()
	reply.Refusal = firstRefusal(refusal, answer.GetRefusal())
	return nil
}

// Watch returns the changes after a position. If there are none, it waits for one.
func (s *Service) Watch(request *wire.WatchRequest, reply *wire.WatchReply) error {
	timeout := requestTimeout + time.Duration(request.GetWaitMs())*time.Millisecond
	answer, refusal := forward[*wire.WatchRequest, *wire.WatchReply](s.host, request, min(timeout, requestTimeout+maxWatchWait))
	reply.Last = answer.GetLast()
	reply.Jobs = answer.GetJobs()
	reply.Refusal = firstRefusal(refusal, answer.GetRefusal())
	return nil
}

// Status returns the status of the hall and its workers.
func (s *Service) Status(request *wire.HallStatusRequest, reply *wire.HallStatus) error {
	answer, refusal := forward[*wire.HallStatusRequest, *wire.HallStatus](s.host, request, requestTimeout)
	reply.Refusal = firstRefusal(refusal, answer.GetRefusal())
	reply.Hall = answer.GetHall()
	reply.Holder = answer.GetHolder()
	reply.Epoch = answer.GetEpoch()
	reply.ConfigVersion = answer.GetConfigVersion()
	reply.Workers = answer.GetWorkers()
	reply.QueuedJobs = answer.GetQueuedJobs()
	reply.RunningJobs = answer.GetRunningJobs()
	reply.StoreAvailable = answer.GetStoreAvailable()
	reply.Entries = answer.GetEntries()
	reply.QueuedAccelerators = answer.GetQueuedAccelerators()
	reply.FreeAccelerators = answer.GetFreeAccelerators()
	reply.GuaranteedAcceleratorsShort = answer.GetGuaranteedAcceleratorsShort()
	reply.WorkersSetAside = answer.GetWorkersSetAside()
	return nil
}

func firstRefusal(a, b *wire.Refusal) *wire.Refusal {
	if a != nil {
		return a
	}
	return b
}
