package pool

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
)

// fullJob returns a job with every field set.
func fullJob() job.Job {
	step := job.Step{
		Count:          2,
		Shape:          job.Shape{CPUMillis: 1500, MemoryMB: 2, Accelerators: 3},
		Estimate:       4 * time.Second,
		Checkpoint:     true,
		Gang:           true,
		SameRack:       true,
		Label:          "label",
		DataRack:       "rack",
		MaxPerWorker:   5,
		Speculative:    true,
		LongRunning:    true,
		MaxUnavailable: 6,
		LatencyTarget:  7 * time.Millisecond,
		Filler:         true,
	}
	second := step
	second.After = []int{0}
	return job.Job{
		ID:        "0123456789abcdef",
		Queue:     "queue",
		Workspace: "workspace",
		Spec:      "spec",
		Steps:     []job.Step{second, step},
		Accepted:  time.Unix(5000, 0),
		Terms:     job.Terms{Priority: 1, Attempts: 2, Stretch: 1.5, Goal: 3 * time.Second, Advised: true},
		Schedule:  job.Schedule{Repeats: 4, First: time.UnixMilli(1700000000123), Interval: 5 * time.Second},
	}
}

// requireAllSet fails the test when a field of a struct is not set, so that tests don't miss fields that are added.
func requireAllSet(t *testing.T, value any) {
	t.Helper()
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Fatalf("%s.%s is not set", v.Type(), v.Type().Field(i).Name)
		}
	}
}

func TestJobRowRoundTrip(t *testing.T) {
	is := is.New(t)
	j := fullJob()
	requireAllSet(t, j)
	requireAllSet(t, j.Steps[0])
	requireAllSet(t, j.Terms)
	requireAllSet(t, j.Schedule)
	// A step can only follow earlier ones.
	j.Steps[0], j.Steps[1] = j.Steps[1], j.Steps[0]
	clock := Clock{Now: time.Unix(5000, 0), Store: 9 * time.Second}
	row := store.Row{Key: KeysOf(j.ID).Job, Value: Encode(JobRow("pool", j, clock.Store))}
	item, err := DecodeIntake(row, clock)
	is.NoErr(err)
	is.Equal(item.(NewJob).Job, j)
}

// Guards against LOST: an estimate of 30 days was accepted, and its milliseconds overflowed in the row, which no holder could
// read.
func TestLongDurationsFitIntoRows(t *testing.T) {
	is := is.New(t)
	j := fullJob()
	j.Steps = j.Steps[:1]
	j.Steps[0].After = nil
	for _, long := range []time.Duration{30 * 24 * time.Hour, math.MaxInt64} {
		j.Steps[0].Estimate, j.Steps[0].LatencyTarget, j.Terms.Goal = long, long, long
		is.NoErr(j.Validate())
		item, err := DecodeIntake(store.Row{Key: KeysOf(j.ID).Job, Value: Encode(JobRow("pool", j, 0))}, Clock{})
		is.NoErr(err)
		decoded := item.(NewJob).Job
		is.True(decoded.Steps[0].Estimate > 24*24*time.Hour)
		is.True(decoded.RoundDue(1).After(decoded.EarliestStart(1)))
	}
}

func TestRowsOfOldEndedJobsAreDeleted(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.core.settings.KeepEnded = 2 * time.Second
	sim.run(300 * time.Millisecond)
	j := oneTask(1, 200*time.Millisecond)
	sim.submit(j)
	sim.run(time.Second)
	is.Equal(sim.state(j.ID), Done)
	rowsOf := func() int {
		count := 0
		for _, key := range []store.Key{KeysOf(j.ID).Job, StateKey("pool", j.ID)} {
			if _, found := sim.rows[key]; found {
				count++
			}
		}
		return count
	}
	is.Equal(rowsOf(), 2) // callers may still ask for the result
	sim.run(3 * time.Second)
	is.Equal(rowsOf(), 0)
}
