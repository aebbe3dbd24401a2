package agent

import "time"

// State is a snapshot of an agent's state, for the debug dump.
type State struct {
	Incarnation   string         `json:"incarnation"`
	Epoch         uint64         `json:"epoch"`
	EpochLearned  bool           `json:"epoch_learned"`
	Adopted       bool           `json:"adopted"`
	ConfigVersion uint64         `json:"config_version"`
	Leaving       bool           `json:"leaving"`
	LeaseLeftMS   int64          `json:"lease_left_ms"`
	Attempts      []AttemptState `json:"attempts"`
}

// AttemptState is the state of an agent's part of an attempt.
type AttemptState struct {
	Job     string `json:"job"`
	Attempt int32  `json:"attempt"`
	State   string `json:"state"`
	Tasks   int    `json:"tasks"`
}

// State returns a snapshot of the agent's state.
func (c *Core) State(now time.Time) State {
	state := State{
		Incarnation:   c.incarnation,
		Epoch:         c.epoch,
		EpochLearned:  c.epochLearned,
		Adopted:       c.adopted,
		ConfigVersion: c.configVersion,
		Leaving:       c.Leaving(),
		LeaseLeftMS:   max(0, c.leaseUntil.Sub(now).Milliseconds()),
		Attempts:      []AttemptState{},
	}
	for _, a := range c.sorted() {
		state.Attempts = append(state.Attempts, AttemptState{
			Job:     a.key.job,
			Attempt: a.key.attempt,
			State:   a.state.String(),
			Tasks:   len(a.tasks),
		})
	}
	return state
}
