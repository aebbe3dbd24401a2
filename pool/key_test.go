package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/store"
)

func TestAgentRowsAreSpreadOverParts(t *testing.T) {
	is := is.New(t)
	const agents = 1600
	byPart := map[string]int{}
	for number := range agents {
		byPart[AgentKey("pool", fmt.Sprintf("side-hall-%d", number)).Part]++
	}
	is.Equal(len(byPart), intakePartCount)
	for part, count := range byPart {
		is.True(slices.Contains(IntakeParts("pool"), part)) // otherwise no holder reads the row
		is.True(count < 2*agents/intakePartCount)
	}
}

// All rows of an ended job are deleted, also those under the keys of earlier releases. A request that comes again after
// an upgrade leaves rows under both.
func TestRowsOfEndedJobsAreDeleted(t *testing.T) {
	began := time.Unix(9000, 0)
	j := oneTask(1, time.Second)
	current, legacy := KeysOf(j.ID), LegacyKeysOf("pool", j.ID)
	for name, test := range map[string]struct {
		added []NewJob
		keys  []store.Key
	}{
		"present keys": {[]NewJob{{Job: j}}, []store.Key{current.Job, current.Cancel}},
		"earlier keys": {[]NewJob{{Job: j, Legacy: true}}, []store.Key{legacy.Job, legacy.Cancel}},
		"both":         {[]NewJob{{Job: j, Legacy: true}, {Job: j}}, []store.Key{legacy.Job, legacy.Cancel, current.Job, current.Cancel}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New("pool", DefaultSettings(), nil)
			for _, added := range test.added {
				c.AddJob(began, added)
			}
			c.CancelJob(began, withdrawalOf(j.ID, 5, began))
			is.True(c.TakeBatch() != nil)
			c.BatchCommitted(began)
			c.Tick(began) // the job is not live any more
			c.Tick(began.Add(c.settings.KeepEnded))
			var deleted []store.Key
			for _, w := range c.TakeBatch().Writes {
				if w.Delete {
					deleted = append(deleted, w.Key)
				}
			}
			is.Equal(deleted, append([]store.Key{StateKey("pool", j.ID)}, test.keys...))
		})
	}
}

// Rows under the keys of earlier releases are read, and deleted with their agents.
func TestLegacyAgentRowsAreReadAndDeleted(t *testing.T) {
	is := is.New(t)
	legacy := legacyAgentKey("pool", "agent")
	is.True(slices.Contains(IntakeParts("pool"), legacy.Part))
	c := New("pool", DefaultSettings(), nil)
	began := time.Unix(9000, 0)
	c.AddAgentRow(began, AgentAddress{Agent: "agent", Address: "10.0.0.1:1", Key: legacy, Version: 3})
	c.AddAgentRow(began, AgentAddress{Agent: "agent", Address: "10.0.0.1:1", Key: AgentKey("pool", "agent"), Version: 4})
	c.Tick(began.Add(c.settings.ForgetAfter))
	deleted := map[store.Key]uint64{}
	for _, txn := range c.TakeAgentSweep(began.Add(c.settings.ForgetAfter)) {
		is.Equal(len(txn.Writes), 1) // the rows lie in different parts
		is.True(txn.Writes[0].Delete)
		is.Equal(txn.Checks[0].Key, txn.Writes[0].Key)
		deleted[txn.Writes[0].Key] = txn.Checks[0].Version
	}
	is.Equal(deleted, map[store.Key]uint64{legacy: 3, AgentKey("pool", "agent"): 4})
}
