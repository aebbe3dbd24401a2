package hall

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/policy"
	"hollyfork.example/wire"
)

const (
	// standbyProcesses is how many processes of a hall watch its lease closely.
	standbyProcesses = 3
	// maxSettled bounds the attempts that one Sync lets an agent forget.
	maxSettled = 256
	// entryMemory is how long an entry counts that does not ask any more.
	entryMemory = 10 * time.Second
)

// member is what the holder knows of the process beside a backend server.
type member struct {
	vm platform.VM
	// listed says that the platform's list has the VM.
	listed bool
	// drained is an operator's wish; leaving is the agent's own word.
	drained bool
	leaving bool

	incarnation string
	machine     string
	token       int64
	// tokenAt is when the token came.
	tokenAt time.Time
	// leased says that the agent has taken up a lease of this holder.
	leased        bool
	configVersion uint64
	seen          uint64
	lastReply     time.Time
	silentSince   time.Time
	// boundUntil is when the leases of the agent's tasks have lapsed for certain if it
	// hears nothing more.
	boundUntil time.Time
	settled    []*wire.AttemptId
	rank       int32
	up         bool
}

// settle lets the agent forget an attempt with the next Sync.
func (a *member) settle(id *wire.AttemptId) {
	a.settled = append(a.settled, id)
}

// SetVMs takes over the platform's list of the hall's VMs.
func (c *Core) SetVMs(now time.Time, vms []platform.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Name] = true
		a, ok := c.members[vm.Name]
		if !ok {
			a = c.newMember(now, vm)
		}
		a.vm = vm
	}
	for name, a := range c.members {
		a.listed = listed[name]
		if a.boundUntil.IsZero() {
			// An earlier holder may have renewed its lease until just now.
			a.boundUntil = now.Add(c.settings.leaseBound(len(c.members)))
		}
	}
	c.rankStandbys()
	c.tickAgents(now)
}

// newMember makes a worker known.
func (c *Core) newMember(now time.Time, vm platform.VM) *member {
	a := &member{
		vm:          vm,
		drained:     slices.Contains(c.config.GetDrainedWorkers(), vm.Name),
		silentSince: now,
	}
	c.members[vm.Name] = a
	c.policy.AddWorker(policyWorker(vm))
	c.policy.SetWorkerUp(vm.Name, false)
	return a
}

// policyWorker translates a VM for the policy, which knows cells of 1, 2, 4 and 8.
func policyWorker(vm platform.VM) policy.Worker {
	accelerators := min(vm.Accelerators, policy.MaxCell)
	for accelerators&(accelerators-1) != 0 {
		accelerators &= accelerators - 1
	}
	return policy.Worker{
		Name:         vm.Name,
		Rack:         vm.Rack,
		Accelerators: accelerators,
		CPUMillis:    vm.CPUMillis,
		MemoryMB:     vm.MemoryMB,
		Slots:        vm.Slots,
	}
}

// rankStandbys names the first agents by name as those that watch the lease closely.
func (c *Core) rankStandbys() {
	rank := int32(0)
	for _, name := range sortedKeys(c.members) {
		a := c.members[name]
		a.rank = 0
		if a.listed && !a.vm.Leaving && rank < standbyProcesses {
			rank++
			a.rank = rank
		}
	}
}

// Members returns the addresses of the agents to keep in touch with, by worker. One
// whose VM is not listed any more still matters while it has work.
func (c *Core) Members() map[string]string {
	members := map[string]string{}
	for name, a := range c.members {
		if a.listed || len(c.onWorker[name]) > 0 {
			members[name] = a.vm.AgentAddress
		}
	}
	return members
}

// NextSync returns the renewal to send to a worker's agent now.
func (c *Core) NextSync(now time.Time, worker string) *wire.SyncRequest {
	a, ok := c.members[worker]
	if !ok {
		return nil
	}
	request := &wire.SyncRequest{
		Hall:          c.hall,
		Epoch:         c.epoch,
		Incarnation:   a.incarnation,
		LeaseToken:    a.token,
		LeaseMs:       int32(c.settings.agentLease(len(c.members)).Milliseconds()),
		ConfigVersion: c.config.GetVersion(),
		Drained:       a.drained,
		SeenReport:    a.seen,
		StandbyRank:   a.rank,
	}
	count := min(len(a.settled), maxSettled)
	request.Settled = slices.Clone(a.settled[:count])
	if a.leased && a.configVersion >= c.config.GetVersion() && count == 0 {
		request.WaitMs = int32(c.settings.syncWait(len(c.members)).Milliseconds())
	}
	c.extendBound(a)
	return request
}

// extendBound notes until when the lease may stand that a renewal gives. It runs from
// the clock reading that the renewal sends back, which the agent took before the holder
// got it; a renewal that is sent again with the same reading gives no more.
func (c *Core) extendBound(a *member) {
	if a.tokenAt.IsZero() {
		return
	}
	until := a.tokenAt.Add(c.settings.leaseBound(len(c.members)))
	if until.After(a.boundUntil) {
		a.boundUntil = until
	}
}

// Synced takes over an agent's answer; reply is nil when there was none.
func (c *Core) Synced(now time.Time, worker string, request *wire.SyncRequest, reply *wire.SyncReply) {
	a, ok := c.members[worker]
	if !ok || reply == nil || reply.GetRefusal() != nil {
		return
	}
	sameIncarnation := a.incarnation == reply.GetIncarnation()
	if a.machine != "" && a.machine != reply.GetMachine() {
		c.machineReplaced(now, a)
	}
	if !sameIncarnation {
		a.meet(reply)
	}
	a.machine = reply.GetMachine()
	// Answers can overtake each other, but an agent never goes back.
	if reply.GetLeaseToken() > a.token {
		a.token = reply.GetLeaseToken()
		a.tokenAt = now
	}
	a.configVersion = max(a.configVersion, reply.GetConfigVersion())
	a.leaving = reply.GetLeaving()
	a.lastReply = now
	a.silentSince = time.Time{}
	if sameIncarnation && request.GetIncarnation() == a.incarnation {
		a.leased = true
		a.settled = a.settled[min(len(a.settled), len(request.GetSettled())):]
	}
	if reply.GetChanged() && reply.GetReport() > a.seen {
		a.seen = reply.GetReport()
		c.applyReports(now, a, reply)
	}
	c.refreshWorker(now, a)
}

// meet begins anew with another incarnation of the agent.
func (a *member) meet(reply *wire.SyncReply) {
	a.incarnation = reply.GetIncarnation()
	a.token = 0
	a.configVersion = 0
	a.seen = 0
	a.leased = false
	a.settled = nil
}

// machineReplaced notes that another VM answers for a worker. What the old one ran
// stops when its leases lapse.
func (c *Core) machineReplaced(now time.Time, a *member) {
	for _, j := range c.jobsOn(a.vm.Name) {
		p := j.part(a.vm.Name)
		if p == nil || p.over() || p.machine != a.machine {
			continue
		}
		p.lapseAt = a.boundUntil
		if j.phase == phaseStarting || j.phase == phaseRunning {
			c.stopJob(now, j, causeLost, "The VM of worker "+p.worker+" was replaced.")
		}
	}
}

// applyReports takes over the full list of an agent's attempts.
func (c *Core) applyReports(now time.Time, a *member, reply *wire.SyncReply) {
	reported := map[string]bool{}
	for _, report := range reply.GetAttempts() {
		j, p := c.partOf(report.GetId(), a.vm.Name)
		if p == nil {
			c.disown(a, report)
			continue
		}
		reported[j.id()] = true
		c.applyReport(now, j, p, report)
	}
	for _, j := range c.jobsOn(a.vm.Name) {
		p := j.part(a.vm.Name)
		if p == nil || reported[j.id()] || p.over() {
			continue
		}
		known := p.incarnation == reply.GetIncarnation() && reply.GetReport() < p.floor
		if !known && (j.phase == phaseRunning || j.phase == phaseStarting && p.state != partHeld) {
			c.stopJob(now, j, causeLost, "Worker "+p.worker+" does not have its part.")
		}
	}
}

// disown settles an attempt that is over and revokes one that nobody wants.
func (c *Core) disown(a *member, report *wire.AttemptReport) {
	id := report.GetId()
	j, ok := c.jobs[id.GetJob()]
	if ok && slices.ContainsFunc(j.unsettled, func(s settlement) bool { return s.id.GetAttempt() == id.GetAttempt() }) {
		return
	}
	switch report.GetState() {
	case wire.AttemptState_ENDED, wire.AttemptState_NEVER_RAN:
		known := slices.ContainsFunc(a.settled, func(other *wire.AttemptId) bool { return proto.Equal(other, id) })
		if !known {
			a.settle(id)
		}
	default:
		revoke := &wire.RevokeRequest{Epoch: c.epoch, Id: id}
		c.calls = append(c.calls, RevokeCall{To: a.vm.Name, Request: revoke})
	}
}

// tickAgents notes agents that fell silent.
func (c *Core) tickAgents(now time.Time) {
	for _, name := range sortedKeys(c.members) {
		a := c.members[name]
		c.refreshWorker(now, a)
		if now.After(a.boundUntil) && c.silent(now, a) {
			c.loseParts(now, a)
		}
	}
}

// silent says whether the agent has not answered for longer than it should.
func (c *Core) silent(now time.Time, a *member) bool {
	return now.Sub(a.lastReply) > c.settings.syncWait(len(c.members))+c.settings.ReachableGrace
}

// refreshWorker says to the policy whether a worker takes new work: the platform's
// list, the agent's own word and an operator's wish each can say no.
func (c *Core) refreshWorker(now time.Time, a *member) {
	if c.silent(now, a) && a.silentSince.IsZero() {
		a.silentSince = now
	}
	up := a.leased && a.listed && !a.vm.Leaving && !a.leaving && !a.drained &&
		!c.silent(now, a)
	if up != a.up {
		a.up = up
		c.policy.SetWorkerUp(a.vm.Name, up)
	}
}

// loseParts gives up what ran on a worker whose leases have lapsed.
func (c *Core) loseParts(now time.Time, a *member) {
	for _, j := range c.jobsOn(a.vm.Name) {
		p := j.part(a.vm.Name)
		if p == nil || p.over() || j.phase < phaseStarting {
			continue
		}
		p.state = partGone
		c.evaluate(now, j)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
