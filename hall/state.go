package hall

import "time"

// State is the holder's state as shown for diagnosis.
type State struct {
	Hall           string            `json:"hall"`
	Holder         string            `json:"holder"`
	Epoch          uint64            `json:"epoch"`
	ConfigVersion  uint64            `json:"config_version"`
	StoreAvailable bool              `json:"store_available"`
	Jobs           map[string]int    `json:"jobs"`
	Uncommitted    int               `json:"uncommitted"`
	Shortage       int               `json:"guaranteed_accelerators_short"`
	Quarantined    []string          `json:"workers_set_aside"`
	Agents         []AgentState      `json:"agents"`
	Active         map[string]string `json:"active"`
}

// AgentState is the holder's state of an agent as shown for diagnosis.
type AgentState struct {
	Worker        string `json:"worker"`
	Incarnation   string `json:"incarnation"`
	Machine       string `json:"machine"`
	Up            bool   `json:"up"`
	Listed        bool   `json:"listed"`
	Leaving       bool   `json:"leaving"`
	Drained       bool   `json:"drained"`
	ConfigVersion uint64 `json:"config_version"`
	LeaseLeftMS   int64  `json:"lease_left_ms"`
}

// State returns the holder's state at the given time.
func (c *Core) State(now time.Time) State {
	state := State{
		Hall:           c.hall,
		Holder:         c.holder,
		Epoch:          c.epoch,
		ConfigVersion:  c.config.GetVersion(),
		StoreAvailable: c.storeAvailable,
		Jobs:           map[string]int{},
		Uncommitted:    len(c.dirty),
		Shortage:       c.policy.Shortage().Accelerators,
		Quarantined:    c.policy.Quarantined(),
		Active:         map[string]string{},
	}
	for _, j := range c.jobs {
		state.Jobs[j.record.GetState().String()]++
	}
	for id, j := range c.active {
		state.Active[id] = j.phase.String()
	}
	for _, name := range sortedKeys(c.agents) {
		a := c.agents[name]
		state.Agents = append(state.Agents, AgentState{
			Worker:        name,
			Incarnation:   a.incarnation,
			Machine:       a.machine,
			Up:            a.available,
			Listed:        a.listed,
			Leaving:       a.leaving,
			Drained:       a.drained,
			ConfigVersion: a.configVersion,
			LeaseLeftMS:   max(0, c.leasesEndBy(now, a.leasesEndBy).Sub(now).Milliseconds()),
		})
	}
	return state
}

// String returns the phase's name.
func (p phase) String() string {
	names := [...]string{
		phaseCreating:  "creating",
		phaseQueued:    "queued",
		phasePreparing: "preparing",
		phasePlacing:   "placing",
		phaseStarting:  "starting",
		phaseRunning:   "running",
		phaseStopping:  "stopping",
		phaseEnded:     "ended",
		phaseMoving:    "moving",
		phaseReceiving: "receiving",
		phaseWithdrawn: "withdrawn",
	}
	return names[p]
}
