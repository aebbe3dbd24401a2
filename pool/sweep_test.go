package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/store"
)

// commitSweep carries out a transaction that deletes old rows, and lets the holder handle the answer.
func (sim *simulation) commitSweep(txn store.Txn) {
	for _, check := range txn.Checks {
		if found := sim.rows[check.Key]; found.Version != check.Version {
			found.Key = check.Key
			sim.core.HandleSweep(txn, &store.Error{Op: "commit", Kind: store.KindConflict, Rows: []store.Row{found}})
			return
		}
	}
	for _, w := range txn.Writes {
		delete(sim.rows, w.Key)
	}
	sim.core.HandleSweep(txn, nil)
}

// agentRow returns the row of the test's agent at a version of the store, or its deletion.
func agentRow(version uint64, deleted bool) AgentAddress {
	row := AgentAddress{Agent: "agent", Key: AgentKey("pool", "agent"), Version: version}
	if !deleted {
		row.Address = "10.0.0.1:1"
	}
	return row
}

// Guards against a worker that is cut off: the row of an agent that had been silent was deleted after the agent had
// written it again, and the deletion closed the link to the agent.
func TestRowThatASilentAgentWritesAgainIsKept(t *testing.T) {
	is := is.New(t)
	began := time.Unix(9000, 0)
	c := New("pool", DefaultSettings(), nil)
	c.AddAgentRow(began, agentRow(3, false))
	at := began.Add(c.settings.ForgetAfter)
	c.Tick(at)
	is.Equal(len(c.workers), 0)
	sweep := c.TakeAgentSweep(at)
	is.Equal(sweep, []store.Txn{{
		Checks: []store.Check{{Key: AgentKey("pool", "agent"), Version: 3}}, // which refuses the deletion of a later row
		Writes: []store.Write{{Key: AgentKey("pool", "agent"), Delete: true}},
	}})
	c.HandleSweep(sweep[0], &store.Error{Op: "commit", Kind: store.KindOutcomeUnknown})
	c.AddAgentRow(at, agentRow(9, false))
	is.Equal(len(c.TakeAgentSweep(at.Add(sweepInterval))), 0)
	is.True(!c.RemoveAgentRow(agentRow(8, true))) // a feed that begins anew tells of the deletion after the row
	is.Equal(len(c.workers), 1)
	is.True(c.RemoveAgentRow(agentRow(10, true)))
	is.Equal(len(c.workers), 0)
}

// The rows of removed agents are deleted until the outcome is known, and no longer once an agent replies again.
func TestRowsOfSilentAgentsAreDeletedUntilTheOutcomeIsKnown(t *testing.T) {
	is := is.New(t)
	began := time.Unix(9000, 0)
	for name, test := range map[string]struct {
		meanwhile func(c *Core, sweep store.Txn)
		remaining int
	}{
		"the answer is lost":     {func(*Core, store.Txn) {}, 1},
		"deleted":                {func(c *Core, sweep store.Txn) { c.HandleSweep(sweep, nil) }, 0},
		"the deletion is read":   {func(c *Core, _ store.Txn) { c.RemoveAgentRow(agentRow(5, true)) }, 0},
		"the agent has replied":  {func(c *Core, _ store.Txn) { c.RecordReply(began, "agent", Grant{}) }, 0},
		"the row is another one": {func(c *Core, sweep store.Txn) { c.HandleSweep(sweep, conflictAt(sweep, 7)) }, 0},
	} {
		c := New("pool", DefaultSettings(), nil)
		c.AddAgentRow(began, agentRow(3, false))
		at := began.Add(c.settings.ForgetAfter)
		c.Tick(at)
		test.meanwhile(c, c.TakeAgentSweep(at)[0])
		t.Log(name)
		is.Equal(len(c.TakeAgentSweep(at)), 0) // not twice at once
		is.Equal(len(c.TakeAgentSweep(at.Add(sweepInterval))), test.remaining)
	}
}

// conflictAt returns the store's answer when the first row of a transaction has another version.
func conflictAt(txn store.Txn, version uint64) error {
	return &store.Error{Op: "commit", Kind: store.KindConflict, Rows: []store.Row{{Key: txn.Checks[0].Key, Version: version}}}
}

// An agent of which one row is deleted is still known by the other: after an upgrade there may be two.
func TestAgentWithAnotherRowIsKept(t *testing.T) {
	is := is.New(t)
	c := New("pool", DefaultSettings(), nil)
	legacy := agentRow(3, false)
	legacy.Key = legacyAgentKey("pool", "agent")
	c.AddAgentRow(time.Unix(9000, 0), legacy)
	c.AddAgentRow(time.Unix(9000, 0), agentRow(4, false))
	legacy.Address, legacy.Version = "", 5
	is.True(!c.RemoveAgentRow(legacy))
	is.True(c.RemoveAgentRow(agentRow(6, true)))
}
