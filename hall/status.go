package hall

import (
	"time"

	"hollyfork.example/wire"
)

// Status returns the status of the hall and records which configuration version the requesting entry has.
func (c *Core) Status(now time.Time, request *wire.HallStatusRequest) *wire.HallStatus {
	c.entryPolls[request.GetEntry()] = entryPoll{configVersion: request.GetConfigVersion(), polledAt: now}
	status := &wire.HallStatus{
		Hall:           c.hall,
		Holder:         c.holder,
		Epoch:          c.epoch,
		ConfigVersion:  c.config.GetVersion(),
		StoreAvailable: c.storeAvailable,

		QueuedAccelerators: int32(c.queuedAccelerators),

		GuaranteedAcceleratorsShort: int32(c.policy.Shortage().Accelerators),
		WorkersSetAside:             c.policy.Quarantined(),
	}
	for _, name := range sortedKeys(c.agents) {
		a := c.agents[name]
		if a.available {
			status.FreeAccelerators += int32(c.policy.FreeAccelerators(name))
		}
		if request.GetWithWorkers() {
			status.Workers = append(status.Workers, c.worker(now, a))
		}
	}
	for _, n := range c.queuedByWorkspace {
		status.QueuedJobs += int32(n)
	}
	status.RunningJobs = int32(len(c.active))
	status.Entries = c.entryVersions(now)
	return status
}

func (c *Core) entryVersions(now time.Time) []*wire.EntryVersion {
	var list []*wire.EntryVersion
	for _, name := range sortedKeys(c.entryPolls) {
		seen := c.entryPolls[name]
		if name == "" || now.Sub(seen.polledAt) > entryPollExpiry {
			delete(c.entryPolls, name)
			continue
		}
		list = append(list, &wire.EntryVersion{Entry: name, ConfigVersion: seen.configVersion})
	}
	return list
}

func (c *Core) worker(now time.Time, a *agentRecord) *wire.Worker {
	return &wire.Worker{
		Name:             a.vm.Name,
		Hall:             c.hall,
		Rack:             a.vm.Rack,
		Accelerators:     int32(a.vm.Accelerators),
		FreeAccelerators: int32(c.policy.FreeAccelerators(a.vm.Name)),
		Reachable:        a.leased && !c.unreachable(now, a),
		Leaving:          a.vm.Leaving || a.leaving || a.drained,
		ConfigVersion:    a.configVersion,
	}
}
