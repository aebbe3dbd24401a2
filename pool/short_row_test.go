package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// wideRepeatingJob returns a job whose rounds have many tasks and, in the last step, one that needs a label.
func wideRepeatingJob(first time.Time) job.Job {
	j := oneTask(1, time.Second)
	last := j.Steps[0]
	last.Label = "b"
	j.Steps[0].Count = job.MaxTasks - 10
	j.Steps = append(j.Steps, last)
	j.Schedule = job.Schedule{Repeats: 2 * maxOpenRounds, First: first, Interval: time.Second}
	return j
}

// Guards against LOST: the rounds of a job waited for a worker of their kind, and the list of their tasks that were done
// outgrew a value, so that the job was failed.
func TestStateOfManyOpenRoundsCanBeWritten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	c := New("pool", DefaultSettings(), nil)
	wide := wideRepeatingJob(now)
	c.AddJob(now, submission(wide, 5))
	j := c.jobs[wide.ID]
	for number := range maxOpenRounds {
		j.openRound(now, number, 0)
	}
	for _, r := range j.rounds {
		for i, g := range r.byStep[0] {
			g.done, g.run = i != 7*r.number, 1+i%3
		}
	}
	c.markDirty(j)
	value := c.commitAll(t, now)[StateKey("pool", wide.ID)]
	is.Equal(j.compressedBytes, len(value))
	c.Tick(now)
	is.Equal(j.state, Queued)

	next := New("pool", DefaultSettings(), nil)
	next.AddJob(now, submission(wide, 5))
	is.NoErr(next.RestoreState(now, store.Row{Key: StateKey("pool", wide.ID), Value: value, Version: 9}))
	restored := next.jobs[wide.ID]
	is.Equal(len(restored.rounds), maxOpenRounds)
	for number, r := range restored.rounds {
		for step, groups := range r.byStep {
			for i, g := range groups {
				is.Equal(g.done, j.rounds[number].byStep[step][i].done)
			}
		}
	}
	state, err := StateOf(store.Row{Value: value})
	is.NoErr(err)
	is.Equal(state, Queued)
}

// While a job's row is long, its further rounds wait instead of making it longer. One is always open.
func TestRoundsWaitWhileTheirRowIsLong(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	c := New("pool", DefaultSettings(), nil)
	wide := wideRepeatingJob(now)
	c.AddJob(now, submission(wide, 5))
	j := c.jobs[wide.ID]
	j.compressedBytes = maxBytesToOpen
	now = now.Add(10 * time.Second)
	c.openRounds(now, j)
	is.Equal(len(j.rounds), 1)
	j.compressedBytes = 0 // the row is short again
	c.openRounds(now, j)
	is.Equal(len(j.rounds), 11)
}

// What is not done is in a short row as in a long one, gangs and tasks alike.
func TestShortRowsListWhatIsDone(t *testing.T) {
	is := is.New(t)
	running := &poolpb.GroupState{Round: 2, Step: 1, First: 4, Run: 3, Failures: 1, Members: []*poolpb.MemberState{{Agent: "a", Instance: "i@1"}}}
	done := func(round, step, first int32) *poolpb.GroupState {
		return &poolpb.GroupState{Round: round, Step: step, First: first, Done: true}
	}
	row := &poolpb.StateRow{
		Layout: rowLayout, State: poolpb.JobState_RUNNING, DoneRoundsBelow: 1, DoneRounds: []int32{5},
		Groups: []*poolpb.GroupState{done(1, 0, 0), done(2, 0, 0), done(2, 1, 2), done(2, 1, 3), running, done(2, 1, 5)},
	}
	short := shortened(row)
	is.Equal(len(short.GetDoneTasks()), 4)
	is.Equal(len(short.GetGroups()), 1)
	got, err := unmarshalState(compressRow(Encode(short)))
	is.NoErr(err)
	want := proto.Clone(row).(*poolpb.StateRow)
	want.Groups = append([]*poolpb.GroupState{running}, done(1, 0, 0), done(2, 0, 0), done(2, 1, 2), done(2, 1, 3), done(2, 1, 5))
	is.True(proto.Equal(got, want))
}

func TestBadShortRowsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, groups := range []int32{-1, maxDoneTasks + 1} {
		_, err := unmarshalState(Encode(&poolpb.StateRow{Layout: shortLayout, DoneTasks: []*poolpb.DoneTasks{{Groups: groups}}}))
		is.True(err != nil)
	}
	_, err := decodeState(store.Row{Value: Encode(&poolpb.StateRow{Layout: shortLayout, DoneTasks: []*poolpb.DoneTasks{{First: 3, Groups: 1}}})}, gang(1, 3, 1, time.Second))
	is.True(err != nil) // part of a gang
}
