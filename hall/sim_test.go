package hall

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/agent"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/platform/standin"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

const simHall = "sapporo-hall"

// sim connects real holders and agents through fakes of the network, the table service and the workers, in
// virtual time. Each message is in transit until a test delivers or drops it, in any order.
type sim struct {
	now         time.Time
	settings    Settings
	store       *fakes.Store
	checkpoints *standin.Checkpoints
	nodes       []*node
	holders     []*testHolder
	messages    []*message
	// accepted contains the jobs whose callers have been told that they are accepted.
	accepted map[string]bool
	// lastAnswer is the last answer about each job that a caller has received.
	lastAnswer map[string]*wire.Job
	committed  map[string]bool
	storeDown  bool
	violations []string
	config     *wire.Configuration
}

// message is a message in transit.
type message struct {
	what string
	// to is the process that receives the message, or nil if the receiver cannot be killed.
	to      *process
	deliver func()
	// lost is called instead of deliver when the message is dropped. If it is nil, the message is a
	// process's own timer and cannot be dropped.
	lost func()
	// timeOut makes the sender of a request stop waiting for the reply.
	timeOut func()
}

// process is the state of a simulated process, which can be killed or paused.
type process struct {
	dead   bool
	paused bool
}

func (p *process) runs() bool {
	return !p.dead && !p.paused
}

// node is a worker with its agent.
type node struct {
	vm          platform.VM
	vmNumber    int
	worker      *standin.Worker
	allWorkers  []*standin.Worker
	proc        *process
	core        *agent.Core
	agentNumber int
	// partitioned is true if the node exchanges no messages with holders.
	partitioned bool
}

// testHolder is a holder's Core with the state that FencedWriter and the agent links have in production.
type testHolder struct {
	*process

	core    *Core
	lease   *wire.HolderLease
	version uint64
	syncing map[string]bool
	nextTry map[string]time.Time
	// committing is true while a transaction is in transit.
	committing bool
	// agentLease is the longest lease of an agent that the transaction in transit records.
	agentLease time.Duration
	// unreachable is a node with which the holder exchanges no messages, though others do; or nil.
	unreachable *node
	// isolated is true if the holder exchanges no messages with any node.
	isolated bool
}

func newSim(workers int, guarantee int32) *sim {
	settings := DefaultSettings
	settings.OutcomeTimeout = time.Minute
	settings.Policy.HeadroomHalfLife = 30 * time.Second
	s := &sim{
		now:         time.Unix(1_000_000, 0),
		settings:    settings,
		store:       fakes.NewStore(time.Unix(1_000_000, 0)),
		checkpoints: standin.NewCheckpoints(),
		accepted:    map[string]bool{},
		lastAnswer:  map[string]*wire.Job{},
		committed:   map[string]bool{},
	}
	s.config = &wire.Configuration{Version: 1, Workspaces: []*wire.Workspace{
		{Name: "captions", Guarantees: []*wire.Guarantee{{Hall: simHall, CellAccelerators: guarantee, Cells: int32(workers)}}},
		{Name: "archive"},
	}}
	s.store.Apply(store.Txn{Writes: []store.Write{{Key: ConfigKey, Value: encode(s.config)}}})
	for i := range workers {
		n := &node{vm: platform.VM{
			Name:         fmt.Sprintf("w%d", i),
			Hall:         simHall,
			Rack:         fmt.Sprintf("r%d", i/3),
			Accelerators: 8,
			CPUMillis:    8000,
			MemoryMB:     8000,
			Slots:        8,
		}}
		s.nodes = append(s.nodes, n)
		s.replaceVM(n)
	}
	s.takeOver()
	return s
}

// replaceVM replaces a node's VM by a new, empty one. Tasks on the old VM stop immediately.
func (s *sim) replaceVM(n *node) {
	if n.worker != nil {
		for _, status := range n.worker.List(s.now) {
			n.worker.Stop(s.now, status.Key)
		}
	}
	n.vmNumber++
	n.worker = standin.NewWorker(n.vm.Name, s.checkpoints)
	n.allWorkers = append(n.allWorkers, n.worker)
	s.restartAgent(n)
}

// restartAgent kills a node's agent and starts a new one.
func (s *sim) restartAgent(n *node) {
	if n.proc != nil {
		n.proc.dead = true
	}
	n.agentNumber++
	n.proc = &process{}
	n.core = agent.NewCore(s.now, fmt.Sprintf("%s-%d", n.vm.Name, n.agentNumber), fmt.Sprintf("%s-m%d", n.vm.Name, n.vmNumber))
	n.core.LearnEpoch(s.storedLease().GetEpoch())
}

func (s *sim) storedLease() *wire.HolderLease {
	lease := &wire.HolderLease{}
	_ = decode(s.store.Row(LeaseKey(simHall)), lease)
	return lease
}

// takeOver starts a new holder that takes the hall, even if another holder still runs.
func (s *sim) takeOver() {
	row := s.store.Row(LeaseKey(simHall))
	old := s.storedLease()
	earlier := s.settings.earlierAgentLease(old)
	lease := &wire.HolderLease{Epoch: old.GetEpoch() + 1, Counter: old.GetCounter() + 1, LongestAgentLeaseMs: int32(earlier.Milliseconds())}
	version, _, _ := s.store.Apply(store.Txn{Writes: []store.Write{{Key: row.Key, Value: encode(lease)}}})
	h := &testHolder{
		process: &process{},
		core:    NewCore(simHall, fmt.Sprint(lease.GetEpoch()), lease.GetEpoch(), earlier, s.settings),
		lease:   lease,
		version: version,
		syncing: map[string]bool{},
		nextTry: map[string]time.Time{},
	}
	config := &wire.Configuration{}
	_ = decode(s.store.Row(ConfigKey), config)
	h.core.SetConfiguration(config)
	h.core.SetVMs(s.now, s.vms())
	h.core.Restore(s.now, Snapshot{
		Live:     s.stored(livePrefix(simHall)),
		Ended:    s.stored(endedPrefix(simHall)),
		Position: lease.GetCounter(),
	})
	s.holders = append(s.holders, h)
}

func (s *sim) stored(prefix string) []*wire.StoredJob {
	var jobs []*wire.StoredJob
	for _, row := range s.store.Rows(prefixRange(prefix)) {
		job := &wire.StoredJob{}
		_ = decode(row, job)
		jobs = append(jobs, job)
	}
	return jobs
}

func (s *sim) vms() []platform.VM {
	var list []platform.VM
	for _, n := range s.nodes {
		list = append(list, n.vm)
	}
	return list
}

func (s *sim) node(name string) *node {
	for _, n := range s.nodes {
		if n.vm.Name == name {
			return n
		}
	}
	return nil
}

// newestHolder returns the holder that took the hall last.
func (s *sim) newestHolder() *testHolder {
	return s.holders[len(s.holders)-1]
}

// ignore is the lost function of messages whose loss their sender does not notice.
func ignore() {}

func (s *sim) send(what string, to *process, deliver, lost func()) {
	s.messages = append(s.messages, &message{what: what, to: to, deliver: deliver, lost: lost})
}

// deliverOrDrop handles a message in transit. If its receiver is paused, the message stays in transit. If
// its receiver is dead or drop is true, the message is lost. Otherwise it is delivered.
func (s *sim) deliverOrDrop(i int, drop bool) {
	m := s.messages[i]
	if m.to != nil && m.to.paused && !m.to.dead || drop && m.lost == nil {
		return
	}
	s.messages = slices.Delete(s.messages, i, i+1)
	if drop || m.to != nil && m.to.dead {
		if m.lost != nil {
			m.lost()
		}
		return
	}
	m.deliver()
}

// advance advances the time and ticks every running process.
func (s *sim) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, n := range s.nodes {
		if n.proc.runs() {
			s.tickNode(n)
		}
	}
	for _, h := range s.holders {
		if h.runs() {
			h.core.Tick(s.now)
			s.sendPending(h)
		}
	}
}

func cutLast(s, sep string) (before, after string, found bool) {
	if i := strings.LastIndex(s, sep); i >= 0 {
		return s[:i], s[i+len(sep):], true
	}
	return s, "", false
}

// sendPending sends the calls, the next transaction and the renewals that a holder has pending.
func (s *sim) sendPending(h *testHolder) {
	h.core.Decide(s.now)
	for _, call := range h.core.TakeCalls() {
		s.call(h, call)
	}
	s.commit(h)
	for _, name := range sortedKeys(h.core.AgentAddresses()) {
		if !h.syncing[name] && !s.now.Before(h.nextTry[name]) {
			s.sync(h, name)
		}
	}
}

// request sends a request to a node's agent, and the reply back. Both can be lost, or be delivered after
// the holder has stopped waiting.
func (s *sim) request(h *testHolder, name, what string, serve func(n *node) func(), unanswered func()) {
	n := s.node(name)
	answered := false
	answerOnce := func(answer func()) {
		if !answered {
			answered = true
			answer()
			s.sendPending(h)
		}
	}
	failed := func() {
		s.send(what+" unanswered", h.process, func() { answerOnce(unanswered) }, nil)
	}
	if n.partitioned || h.unreachable == n || h.isolated {
		failed()
		return
	}
	s.send(what+" to "+name, nil, func() {
		if !n.proc.runs() || n.partitioned {
			failed()
			return
		}
		answer := serve(n)
		s.send(what+" answered by "+name, h.process, func() { answerOnce(answer) }, failed)
	}, failed)
	s.messages[len(s.messages)-1].timeOut = failed
}

func (s *sim) call(h *testHolder, call Call) {
	switch call := call.(type) {
	case PrepareCall:
		s.request(h, call.To, "prepare", func(n *node) func() {
			reply := n.core.Prepare(s.now, call.Request)
			return func() { h.core.HandlePrepareReply(s.now, call, reply) }
		}, func() { h.core.HandlePrepareReply(s.now, call, nil) })
	case StartCall:
		s.request(h, call.To, "start", func(n *node) func() {
			reply, commands := n.core.Start(s.now, call.Request)
			s.execute(n, commands)
			return func() { h.core.HandleStartReply(s.now, call, reply) }
		}, func() { h.core.HandleStartReply(s.now, call, nil) })
	case RevokeCall:
		s.request(h, call.To, "revoke", func(n *node) func() {
			reply, commands := n.core.Revoke(s.now, call.Request)
			s.execute(n, commands)
			return func() { h.core.HandleRevokeReply(s.now, call, reply) }
		}, func() { h.core.HandleRevokeReply(s.now, call, nil) })
	}
}

func (s *sim) sync(h *testHolder, name string) {
	request := h.core.NextSync(s.now, name)
	if request == nil {
		return
	}
	h.syncing[name] = true
	done := func(reply *wire.SyncReply) {
		h.syncing[name] = false
		h.nextTry[name] = s.now.Add(time.Second)
		h.core.HandleSyncReply(s.now, name, request, reply)
	}
	s.request(h, name, "sync", func(n *node) func() {
		reply, commands := n.core.Sync(s.now, request)
		s.execute(n, commands)
		return func() { done(reply) }
	}, func() { done(nil) })
}

// submit submits a job to the newest holder.
func (s *sim) submit(id string, spec *wire.JobSpec) {
	h := s.newestHolder()
	if !h.runs() {
		return
	}
	request := &wire.SubmitRequest{Id: id, Spec: spec}
	h.core.Submit(s.now, request, func(job *wire.Job, _ bool, refusal *wire.Refusal) {
		if refusal == nil {
			s.accepted[job.GetId()] = true
			s.lastAnswer[job.GetId()] = job
		}
	})
	s.sendPending(h)
}

func (s *sim) cancel(id string) {
	h := s.newestHolder()
	if !h.runs() {
		return
	}
	h.core.Cancel(s.now, id, func(job *wire.Job, refusal *wire.Refusal) {
		if refusal == nil {
			s.lastAnswer[id] = job
		}
	})
	s.sendPending(h)
}

// run runs the simulation for a while without new failures.
func (s *sim) run(d time.Duration) {
	const rounds = 8
	end := s.now.Add(d)
	for s.now.Before(end) {
		for range rounds {
			s.deliverWaiting()
		}
		s.advance(250 * time.Millisecond)
	}
}

// deliverWaiting delivers the messages that are in transit, but not those that are sent meanwhile.
func (s *sim) deliverWaiting() {
	for _, m := range slices.Clone(s.messages) {
		if i := slices.Index(s.messages, m); i >= 0 {
			s.deliverOrDrop(i, false)
		}
	}
}

// heal ends all failures.
func (s *sim) heal() {
	s.storeDown = false
	for _, n := range s.nodes {
		n.partitioned = false
		n.proc.paused = false
		if n.proc.dead {
			s.restartAgent(n)
		}
	}
	for _, h := range s.holders {
		h.paused = false
	}
	if s.newestHolder().dead {
		s.takeOver()
	}
}

// allRuns returns every run on every VM, including replaced ones.
func (s *sim) allRuns() []standin.Run {
	var runs []standin.Run
	for _, n := range s.nodes {
		for _, worker := range n.allWorkers {
			runs = append(runs, worker.Record(s.now)...)
		}
	}
	return runs
}

// runsOf returns how often each task of a job was started, by task index.
func (s *sim) runsOf(id string) map[string]int {
	counts := map[string]int{}
	for _, run := range s.allRuns() {
		job, rest, _ := strings.Cut(run.Key, "~")
		if job == id {
			_, index, _ := strings.Cut(rest, "~")
			counts[index]++
		}
	}
	return counts
}

// row returns the job in its row, or nil if it has none.
func (s *sim) row(id string) *wire.Job {
	for _, prefix := range []string{livePrefix(simHall), endedPrefix(simHall), movedPrefix(simHall), movedPrefix("asahikawa-hall")} {
		for _, stored := range s.stored(prefix) {
			if stored.GetJob().GetId() == id {
				return stored.GetJob()
			}
		}
	}
	return nil
}
