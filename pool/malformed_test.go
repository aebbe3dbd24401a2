package pool

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// Guards against taking a job with an unreadable state row for a job of which nothing has run: after a takeover its
// tasks would be started beside their running ones.
func TestJobWithUnreadableStateStartsNothing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 3)
	sim.submit(oneTask(1, 3*time.Second))
	sim.submit(oneTask(2, time.Second))
	sim.run(500 * time.Millisecond)
	is.Equal(sim.starts, 2)
	key := StateKey("pool", oneTask(1, 0).ID)
	sim.rows[key] = store.Row{Key: key, Value: []byte{0xff, 0xff}, Version: 9}
	sim.takeOverSkippingBadRows()
	sim.run(5 * time.Second)
	is.Equal(sim.starts, 2)
	is.Equal(sim.state(oneTask(2, 0).ID), Done)
	is.Equal(sim.core.Snapshot(sim.now).Jobs["unreadable"], 1)
	sim.cancel(oneTask(1, 0).ID)
	sim.run(time.Second)
	state, err := StateOf(sim.rows[key])
	is.NoErr(err)
	is.Equal(state, Cancelled)
}

// takeOverSkippingBadRows replaces the holder by one that skips the rows that it can't read.
func (sim *simulation) takeOverSkippingBadRows() {
	sim.epoch++
	sim.core, _ = restoreRows(sim.now, sim.storeClock(), sim.rows, func(e Event) { sim.events = append(sim.events, e) })
}

// restoreRows restores a core from a pool's rows, as a holder does, and returns the number of unreadable rows.
func restoreRows(now time.Time, clock time.Duration, rows map[store.Key]store.Row, observe Observer) (*Core, int) {
	core := New("pool", DefaultSettings(), observe)
	unreadable := 0
	var items []Intake
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b store.Key) int { return strings.Compare(a.Name, b.Name) })
	for _, key := range keys {
		if key.Table != IntakeTable {
			continue
		}
		item, err := DecodeIntake(rows[key], Clock{Now: now, Store: clock})
		if err != nil {
			unreadable++
			continue
		}
		if j, ok := item.(NewJob); ok {
			core.AddJob(now, j)
			continue
		}
		items = append(items, item)
	}
	for _, key := range keys {
		if key.Table == StateTable && core.RestoreState(now, rows[key]) != nil {
			unreadable++
		}
	}
	for _, item := range items {
		switch i := item.(type) {
		case Cancellation:
			core.CancelJob(now, i)
		case AgentAddress:
			core.AddAgent(now, i.Agent)
		}
	}
	return core, unreadable
}

func TestBadIntakeRowsAreRejected(t *testing.T) {
	is := is.New(t)
	good := oneTask(1, time.Second)
	id := good.ID
	edited := func(edit func(*poolpb.JobRow)) []byte {
		row := JobRow("pool", good, 0)
		edit(row)
		return Encode(row)
	}
	for name, row := range map[string]store.Row{
		"a cancellation without a layout":   {Key: KeysOf(id).Cancel, Value: Encode(&poolpb.CancelRow{CancelledMs: 5})},
		"an undecodable cancellation":       {Key: KeysOf(id).Cancel, Value: []byte("not a row")},
		"an empty cancellation":             {Key: KeysOf(id).Cancel},
		"an agent without an address":       {Key: AgentKey("pool", "a"), Value: Encode(&poolpb.AgentRow{})},
		"an agent with a malformed address": {Key: AgentKey("pool", "a"), Value: Encode(&poolpb.AgentRow{Address: "here"})},
		"an agent with a port out of range": {Key: AgentKey("pool", "a"), Value: Encode(&poolpb.AgentRow{Address: "10.0.0.1:99999"})},
		"an agent without a port":           {Key: AgentKey("pool", "a"), Value: Encode(&poolpb.AgentRow{Address: "10.0.0.1:0"})},
		"an agent at a name":                {Key: AgentKey("pool", "a"), Value: Encode(&poolpb.AgentRow{Address: "here:1"})},
		"an undecodable agent":              {Key: AgentKey("pool", "a"), Value: []byte{0xff}},
		"a job without steps":               {Key: KeysOf(id).Job, Value: edited(func(r *poolpb.JobRow) { r.Steps = nil })},
		"an undecodable job":                {Key: KeysOf(id).Job, Value: []byte{0xff}},
		"a job of no pool":                  {Key: KeysOf(id).Job, Value: edited(func(r *poolpb.JobRow) { r.Pool = "" })},
		"a cancellation of no pool":         {Key: KeysOf(id).Cancel, Value: Encode(&poolpb.CancelRow{Layout: rowLayout})},
		"an empty job":                      {Key: KeysOf(id).Job},
		"a job with negative attempts":      {Key: KeysOf(id).Job, Value: edited(func(r *poolpb.JobRow) { r.Attempts = -1 })},
		"a job with a negative priority":    {Key: KeysOf(id).Job, Value: edited(func(r *poolpb.JobRow) { r.Priority = -1 })},
		"a job with a negative step":        {Key: KeysOf(id).Job, Value: edited(func(r *poolpb.JobRow) { r.Steps[0].Count = -1 })},
		"a job under a key of another ID":   {Key: KeysOf("x").Job, Value: edited(func(*poolpb.JobRow) {})},
		"a row of another kind":             {Key: store.Key{Table: IntakeTable, Part: "pool", Name: "job/1/other"}},
	} {
		item, err := DecodeIntake(row, Clock{})
		if err == nil {
			t.Errorf("%s is read as %#v", name, item)
		}
	}
	item, err := DecodeIntake(store.Row{Key: AgentKey("pool", "a"), Version: 7, Deleted: true}, Clock{})
	is.NoErr(err)
	is.Equal(item, AgentAddress{Agent: "a", Key: AgentKey("pool", "a"), Version: 7})
}

func TestBadStateRowsAreRejected(t *testing.T) {
	good := gang(1, 3, 1, time.Second)
	for name, row := range map[string]*poolpb.StateRow{
		"without a layout":      {State: poolpb.JobState_DONE},
		"unknown state":         {Layout: rowLayout, State: 17},
		"unknown step":          {Layout: rowLayout, Groups: []*poolpb.GroupState{{Step: 1}}},
		"unknown task":          {Layout: rowLayout, Groups: []*poolpb.GroupState{{First: 3}}},
		"part of a gang":        {Layout: rowLayout, Groups: []*poolpb.GroupState{{First: 1}}},
		"too few members":       {Layout: rowLayout, Groups: []*poolpb.GroupState{{Run: 1, Members: []*poolpb.MemberState{{Agent: "a"}}}}},
		"negative run":          {Layout: rowLayout, Groups: []*poolpb.GroupState{{Run: -1}}},
		"crash of another task": {Layout: rowLayout, Groups: []*poolpb.GroupState{{Run: 1, Crashes: []*poolpb.CrashState{{Index: 99, Agent: "a"}}}}},
		"crash of no worker":    {Layout: rowLayout, Groups: []*poolpb.GroupState{{Run: 1, Crashes: []*poolpb.CrashState{{}}}}},
		"negative extra starts": {Layout: rowLayout, Groups: []*poolpb.GroupState{{Run: 1, ExtraStarts: -1}}},
		"negative failures":     {Layout: rowLayout, Groups: []*poolpb.GroupState{{Failures: -1}}},
		"unknown round":         {Layout: rowLayout, Groups: []*poolpb.GroupState{{Round: 1}}},
		"rounds beyond the job": {Layout: rowLayout, DoneRounds: []int32{4}},
	} {
		core := New("pool", DefaultSettings(), nil)
		core.AddJob(time.Unix(1000, 0), NewJob{Job: good})
		key := StateKey("pool", good.ID)
		if err := core.RestoreState(time.Unix(1000, 0), store.Row{Key: key, Value: Encode(row), Version: 1}); err == nil {
			t.Errorf("%s is read", name)
		}
		if len(core.waitingRounds(time.Unix(1000, 0))) != 0 {
			t.Errorf("%s: the tasks of the unreadable job are ready to be placed", name)
		}
	}
}

// A takeover restores the same from a set of rows whether or not unreadable rows are among them.
func TestTakeoverSkipsBadRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, clock := time.Unix(2000, 0), time.Hour
		good := map[store.Key]store.Row{}
		for id := range rapid.IntRange(0, 5).Draw(t, "jobs") {
			j := gang(id, rapid.IntRange(1, 3).Draw(t, "tasks"), 1, time.Second)
			good[KeysOf(j.ID).Job] = store.Row{Key: KeysOf(j.ID).Job, Value: Encode(JobRow("pool", j, clock)), Version: 1}
			if rapid.Bool().Draw(t, "has run") {
				good[StateKey("pool", j.ID)] = store.Row{Key: StateKey("pool", j.ID), Value: Encode(drawState(t, j)), Version: 1}
			}
			if rapid.Bool().Draw(t, "cancelled") {
				good[KeysOf(j.ID).Cancel] = store.Row{Key: KeysOf(j.ID).Cancel, Value: Encode(CancelRow("pool", clock)), Version: 1}
			}
		}
		good[AgentKey("pool", "a")] = store.Row{Key: AgentKey("pool", "a"), Value: Encode(&poolpb.AgentRow{Address: "10.0.0.1:1"}), Version: 1}
		all := maps.Clone(good)
		for range rapid.IntRange(0, 8).Draw(t, "bad rows") {
			row := drawBadRow(t)
			if _, taken := all[row.Key]; !taken {
				all[row.Key] = row
			}
		}
		want, _ := restoreRows(now, clock, good, nil)
		got, unreadable := restoreRows(now, clock, all, nil)
		if unreadable != len(all)-len(good) {
			t.Fatalf("%d of %d bad rows were skipped", unreadable, len(all)-len(good))
		}
		a, b := want.Snapshot(now), got.Snapshot(now)
		if fmt.Sprint(a.Live) != fmt.Sprint(b.Live) || fmt.Sprint(a.Workers) != fmt.Sprint(b.Workers) || fmt.Sprint(a.Waiting) != fmt.Sprint(b.Waiting) {
			t.Fatalf("restored %+v without bad rows, %+v with them", a, b)
		}
	})
}

func drawState(t *rapid.T, j job.Job) *poolpb.StateRow {
	g := &poolpb.GroupState{Run: int32(rapid.IntRange(1, 4).Draw(t, "run"))}
	if rapid.Bool().Draw(t, "placed") {
		for range j.Steps[0].Count {
			g.Members = append(g.Members, &poolpb.MemberState{Agent: "a", Instance: "i"})
		}
	}
	return &poolpb.StateRow{Layout: rowLayout, State: poolpb.JobState_RUNNING, Groups: []*poolpb.GroupState{g}}
}

// drawBadRow returns an unreadable row under one of the keys that a holder reads.
func drawBadRow(t *rapid.T) store.Row {
	id := job.ID(fmt.Sprintf("%016x", rapid.IntRange(100, 200).Draw(t, "id")))
	key := rapid.SampledFrom([]store.Key{KeysOf(id).Job, KeysOf(id + "0").Job, AgentKey("pool", string(id)), KeysOf(id).Cancel, StateKey("pool", id)}).Draw(t, "key")
	noise := append([]byte{0xff}, rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "noise")...) // no field has this tag
	return store.Row{Key: key, Value: noise, Version: 1}
}

func FuzzState(f *testing.F) {
	good := gang(1, 3, 1, time.Second)
	f.Add(Encode(&poolpb.StateRow{Layout: rowLayout, State: poolpb.JobState_RUNNING, Groups: []*poolpb.GroupState{{Run: 1, Members: []*poolpb.MemberState{{Agent: "a"}, {Agent: "b"}, {}}}}}))
	f.Add(Encode(&poolpb.StateRow{Layout: rowLayout, State: poolpb.JobState_DONE, DoneRoundsBelow: 1}))
	f.Add([]byte{0xff})
	whole := Encode(&poolpb.StateRow{Layout: rowLayout, State: poolpb.JobState_RUNNING, Groups: []*poolpb.GroupState{{Run: 2, Failures: 1, Saved: "s", Members: []*poolpb.MemberState{{Agent: "a", Instance: "i"}, {Agent: "b", Instance: "i"}, {}}}}})
	for _, variant := range fakes.Mutations(2, whole, 2000) {
		f.Add(variant)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		core := New("pool", DefaultSettings(), nil)
		now := time.Unix(1000, 0)
		core.AddJob(now, NewJob{Job: good})
		err := core.RestoreState(now, store.Row{Key: StateKey("pool", good.ID), Value: content, Version: 1})
		if err != nil && len(core.waitingRounds(now)) != 0 {
			t.Error("the tasks of the unreadable job are ready to be placed")
		}
		core.Tick(now)
		core.Decide(now)
	})
}

func FuzzIntake(f *testing.F) {
	f.Add("job/0000000000000001/spec", Encode(JobRow("pool", gang(1, 3, 1, time.Second), 0)))
	f.Add("job/0000000000000001/cancel", Encode(CancelRow("pool", 1)))
	f.Add("agent/a", Encode(&poolpb.AgentRow{Address: "10.0.0.1:1"}))
	for _, variant := range fakes.Mutations(3, Encode(JobRow("pool", gang(1, 3, 1, time.Second), time.Minute)), 2000) {
		f.Add("job/0000000000000001/spec", variant)
	}
	f.Fuzz(func(t *testing.T, name string, content []byte) {
		item, err := DecodeIntake(store.Row{Key: store.Key{Table: IntakeTable, Part: jobPart(0), Name: name}, Value: content, Version: 1}, Clock{})
		if err != nil {
			return
		}
		switch i := item.(type) {
		case NewJob:
			if i.Job.Validate() != nil {
				t.Errorf("the invalid job %+v is accepted", i.Job)
			}
			core := New("pool", DefaultSettings(), nil)
			core.AddJob(time.Unix(1000, 0), i)
			core.Tick(time.Unix(1000, 0))
			core.Decide(time.Unix(1000, 0))
		case AgentAddress:
			if i.Address == "" {
				t.Errorf("the row of agent %s is read as its deletion", i.Agent)
			}
		case Cancellation:
			if proto.Unmarshal(content, &poolpb.CancelRow{}) != nil {
				t.Error("an unreadable row cancels a job")
			}
		}
	})
}

func TestUnreadableSummaryIsAnError(t *testing.T) {
	is := is.New(t)
	key := SummaryKey("pool")
	for _, content := range [][]byte{nil, {0xff}, Encode(&poolpb.SummaryRow{}), Encode(&poolpb.SummaryRow{Layout: rowLayout, WaitingByQueue: map[string]int32{"q": -1}})} {
		_, err := WaitingOf(store.Row{Key: key, Value: content, Version: 3}, "q")
		is.True(err != nil)
	}
	count, err := WaitingOf(store.Row{Key: key, Value: Encode(&poolpb.SummaryRow{Layout: rowLayout, WaitingByQueue: map[string]int32{"q": 4}}), Version: 3}, "q")
	is.NoErr(err)
	is.Equal(count, 4)
	count, err = WaitingOf(store.Row{Key: key}, "q")
	is.NoErr(err)
	is.Equal(count, 0) // before the first summary is written
}
