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
	// standbyProcesses is the number of processes of a hall that poll its lease frequently.
	standbyProcesses = 3
	// maxAcksPerSync bounds the number of attempts that one Sync acknowledges.
	maxAcksPerSync = 256
	// entryPollExpiry is how long after its last status request an entry is still listed in the status.
	entryPollExpiry = 10 * time.Second
)

// agentRecord is the holder's state of a worker and the agent on its VM.
type agentRecord struct {
	vm platform.VM
	// listed is true if the VM is in the platform's list.
	listed bool
	// drained is true if an operator drains the worker; leaving is true if the agent has reported that it
	// is leaving.
	drained bool
	leaving bool

	incarnation string
	// machine identifies the VM and its boot, as reported by the agent. It is empty until this holder has received a
	// reply of the agent.
	machine    string
	leaseToken int64
	// leaseTokenAt is when leaseToken was received.
	leaseTokenAt time.Time
	// leased is true if the agent has accepted a lease from this holder.
	leased           bool
	configVersion    uint64
	lastReport       uint64
	lastReply        time.Time
	unreachableSince time.Time
	// leasesEndBy is the latest time until which leases can be valid that this holder gave, unless the agent receives
	// another renewal. Core.leasesEndBy adds those of earlier holders.
	leasesEndBy time.Time
	pendingAcks []*wire.AttemptId
	standbyRank int32
	available   bool
}

// acknowledge allows the agent to delete its record of an attempt. The next Sync transmits it.
func (a *agentRecord) acknowledge(id *wire.AttemptId) {
	a.pendingAcks = append(a.pendingAcks, id)
}

// SetVMs applies the platform's list of the hall's VMs.
func (c *Core) SetVMs(now time.Time, vms []platform.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Name] = true
		a, ok := c.agents[vm.Name]
		if !ok {
			a = c.addAgent(now, vm)
		}
		a.vm = vm
	}
	for name, a := range c.agents {
		a.listed = listed[name]
	}
	c.rankStandbys()
	c.tickAgents(now)
}

// addAgent adds a worker and its agent, which is unavailable until it has accepted a lease.
func (c *Core) addAgent(now time.Time, vm platform.VM) *agentRecord {
	a := &agentRecord{
		vm:               vm,
		drained:          slices.Contains(c.config.GetDrainedWorkers(), vm.Name),
		unreachableSince: now,
		leasesEndBy:      now,
	}
	c.agents[vm.Name] = a
	c.policy.AddWorker(policyWorker(vm))
	c.policy.SetWorkerUp(vm.Name, false)
	return a
}

// policyWorker converts a VM to the policy's type. The policy has cells of 1, 2, 4 and 8 accelerators, so the
// number of accelerators is rounded down to a power of two, at most policy.MaxCell.
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

// rankStandbys selects the processes that poll the hall's lease frequently: the first standbyProcesses
// workers by name whose VMs are listed and not leaving.
func (c *Core) rankStandbys() {
	rank := int32(0)
	for _, name := range sortedKeys(c.agents) {
		a := c.agents[name]
		a.standbyRank = 0
		if a.listed && !a.vm.Leaving && rank < standbyProcesses {
			rank++
			a.standbyRank = rank
		}
	}
}

// AgentAddresses returns the addresses of the agents to connect to, by worker. It includes the agents of
// VMs that are no longer listed while jobs have parts on them.
func (c *Core) AgentAddresses() map[string]string {
	addresses := map[string]string{}
	for name, a := range c.agents {
		if a.listed || len(c.activeByWorker[name]) > 0 {
			addresses[name] = a.vm.AgentAddress
		}
	}
	return addresses
}

// NextSync returns the renewal to send to a worker's agent, or nil if the worker is unknown or a later holder is known.
func (c *Core) NextSync(now time.Time, worker string) *wire.SyncRequest {
	a, ok := c.agents[worker]
	if !ok || c.supersededBy != "" {
		return nil
	}
	request := &wire.SyncRequest{
		Hall:          c.hall,
		Epoch:         c.epoch,
		Incarnation:   a.incarnation,
		LeaseToken:    a.leaseToken,
		LeaseMs:       int32(c.agentLease().Milliseconds()),
		ConfigVersion: c.config.GetVersion(),
		Drained:       a.drained,
		SeenReport:    a.lastReport,
		StandbyRank:   a.standbyRank,
	}
	count := min(len(a.pendingAcks), maxAcksPerSync)
	request.Settled = slices.Clone(a.pendingAcks[:count])
	if a.leased && a.configVersion >= c.config.GetVersion() && count == 0 {
		wait := min(c.settings.syncWait(len(c.agents)), c.agentLease()/syncsPerLease)
		request.WaitMs = int32(wait.Milliseconds())
	}
	c.extendLeaseBound(a)
	return request
}

// extendLeaseBound extends leasesEndBy for a renewal that is about to be sent. The lease runs from the
// clock reading in the lease token, which the agent took before the holder received the token. A renewal
// that repeats a token does not extend the lease.
func (c *Core) extendLeaseBound(a *agentRecord) {
	if a.leaseTokenAt.IsZero() {
		return
	}
	until := a.leaseTokenAt.Add(c.settings.withDrift(c.agentLease()))
	if until.After(a.leasesEndBy) {
		a.leasesEndBy = until
	}
}

// HandleSyncReply applies an agent's reply to a renewal. The reply is nil if none arrived. A reply of another incarnation
// than the known one is ignored if the renewal was sent before that one was known: it may be of an earlier one, and says
// nothing about the agent's present VM and attempts. The reply to the next renewal tells.
func (c *Core) HandleSyncReply(now time.Time, worker string, request *wire.SyncRequest, reply *wire.SyncReply) {
	c.noteRefusal(worker, reply.GetRefusal())
	a, ok := c.agents[worker]
	if !ok || reply == nil || reply.GetRefusal() != nil {
		return
	}
	c.agentMet(now)
	sameIncarnation := a.incarnation == reply.GetIncarnation()
	if !sameIncarnation && request.GetIncarnation() != a.incarnation {
		return
	}
	if a.machine != reply.GetMachine() {
		a.machine = reply.GetMachine()
		c.stopPartsOfOtherVMs(now, a)
	}
	if !sameIncarnation {
		a.adoptIncarnation(reply)
	}
	// Replies can overtake each other, but the agent's token never decreases.
	if reply.GetLeaseToken() >= a.leaseToken {
		a.leaving = reply.GetLeaving()
	}
	if reply.GetLeaseToken() > a.leaseToken {
		a.leaseToken = reply.GetLeaseToken()
		a.leaseTokenAt = now
	}
	a.configVersion = max(a.configVersion, reply.GetConfigVersion())
	a.lastReply = now
	a.unreachableSince = time.Time{}
	if sameIncarnation && request.GetIncarnation() == a.incarnation {
		a.leased = true
		a.pendingAcks = slices.DeleteFunc(a.pendingAcks, func(id *wire.AttemptId) bool {
			return slices.Contains(request.GetSettled(), id)
		})
	}
	if reply.GetChanged() && reply.GetReport() > a.lastReport {
		a.lastReport = reply.GetReport()
		c.applyReports(now, a, reply)
	}
	c.updateAvailability(now, a)
}

// adoptIncarnation resets the state that belongs to the previous incarnation of the agent.
func (a *agentRecord) adoptIncarnation(reply *wire.SyncReply) {
	a.incarnation = reply.GetIncarnation()
	a.leaseToken = 0
	a.configVersion = 0
	a.lastReport = 0
	a.leased = false
	a.pendingAcks = nil
}

// stopPartsOfOtherVMs stops the parts of a worker that were placed on another VM than the one that its agent runs on,
// whether this holder or an earlier one placed them. Tasks on the other VM stop when their leases end.
func (c *Core) stopPartsOfOtherVMs(now time.Time, a *agentRecord) {
	for _, j := range c.jobsOn(a.vm.Name) {
		p := j.part(a.vm.Name)
		if p == nil || p.terminal() || p.machine == a.machine || !p.leasesEndBy.IsZero() {
			continue
		}
		p.leasesEndBy = a.leasesEndBy
		if j.phase == phaseStarting || j.phase == phaseRunning {
			c.stopJob(now, j, causeLost, "The VM of worker "+p.worker+" was replaced.")
		}
	}
}

// applyReports applies an agent's full list of attempts. A part that should be running but is missing from
// the list is lost, and its job is stopped.
func (c *Core) applyReports(now time.Time, a *agentRecord, reply *wire.SyncReply) {
	reported := map[string]bool{}
	for _, report := range reply.GetAttempts() {
		j, p := c.partOf(report.GetId(), a.vm.Name)
		if p == nil {
			c.handleOrphan(a, report)
			continue
		}
		reported[j.id()] = true
		c.applyReport(now, j, p, report)
	}
	for _, j := range c.jobsOn(a.vm.Name) {
		p := j.part(a.vm.Name)
		if p == nil || reported[j.id()] || p.terminal() {
			continue
		}
		predatesPart := p.incarnation == reply.GetIncarnation() && reply.GetReport() < p.firstReport
		if !predatesPart && (j.phase == phaseRunning || j.phase == phaseStarting && p.state != partReserved) {
			c.stopJob(now, j, causeLost, "Worker "+p.worker+" does not have its part.")
		}
	}
}

// handleOrphan handles a reported attempt that the holder does not track. It acknowledges an ended one,
// unless its outcome is still being committed, and revokes one that may still run.
func (c *Core) handleOrphan(a *agentRecord, report *wire.AttemptReport) {
	id := report.GetId()
	j, ok := c.jobs[id.GetJob()]
	if ok {
		j.otherAttempt = max(j.otherAttempt, id.GetAttempt())
	}
	if ok && slices.ContainsFunc(j.unacknowledged, func(s workerAttempt) bool { return s.id.GetAttempt() == id.GetAttempt() }) {
		return
	}
	switch report.GetState() {
	case wire.AttemptState_ENDED, wire.AttemptState_NEVER_RAN:
		known := slices.ContainsFunc(a.pendingAcks, func(other *wire.AttemptId) bool { return proto.Equal(other, id) })
		if !known {
			a.acknowledge(id)
		}
	default:
		revoke := &wire.RevokeRequest{Epoch: c.epoch, Id: id}
		c.pendingCalls = append(c.pendingCalls, RevokeCall{To: a.vm.Name, Request: revoke})
	}
}

// tickAgents updates the availability of all workers, and loses the parts on unreachable workers whose
// leases have ended.
func (c *Core) tickAgents(now time.Time) {
	for _, name := range sortedKeys(c.agents) {
		a := c.agents[name]
		c.updateAvailability(now, a)
		if now.After(c.leasesEndBy(now, a.leasesEndBy)) && c.unreachable(now, a) {
			c.loseParts(now, a)
		}
	}
}

// unreachable reports whether the agent has not replied for longer than expected.
func (c *Core) unreachable(now time.Time, a *agentRecord) bool {
	return now.Sub(a.lastReply) > c.settings.syncWait(len(c.agents))+c.settings.UnreachableAfter
}

// updateAvailability informs the policy when a worker becomes available for new work or unavailable. A
// worker is available if its agent is reachable and has accepted a lease, and neither the platform, the
// agent nor an operator has excluded it.
func (c *Core) updateAvailability(now time.Time, a *agentRecord) {
	if c.unreachable(now, a) && a.unreachableSince.IsZero() {
		a.unreachableSince = now
	}
	available := a.leased && a.listed && !a.vm.Leaving && !a.leaving && !a.drained &&
		!c.unreachable(now, a)
	if available != a.available {
		a.available = available
		c.policy.SetWorkerUp(a.vm.Name, available)
	}
}

// loseParts marks the parts on a worker whose leases have ended as lost.
func (c *Core) loseParts(now time.Time, a *agentRecord) {
	for _, j := range c.jobsOn(a.vm.Name) {
		p := j.part(a.vm.Name)
		if p == nil || p.terminal() || j.phase < phaseStarting {
			continue
		}
		p.state = partLost
		c.evaluate(now, j)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
