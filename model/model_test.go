package model

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
)

const (
	// randomWorkloads is the number of random workloads in each test of them. randomLength is the time during which
	// jobs arrive in each.
	randomWorkloads = 10
	randomLength    = 6 * time.Second
)

// shortRandomWorkload draws a workload whose simulation takes less than a second.
func shortRandomWorkload(seed uint64) Workload {
	w := RandomWorkload(seed)
	w.Length = randomLength
	for i := range w.Kinds {
		w.Kinds[i].Rate = min(w.Kinds[i].Rate, 5)
	}
	return w
}

// underloaded returns a workload with capacity for all jobs.
func underloaded() Workload {
	return Workload{
		Length: 10 * time.Second,
		Pool: Pool{
			Workers:            8,
			WorkersPerRack:     4,
			WorkerCapacity:     job.Shape{CPUMillis: 64_000, MemoryMB: 64_000, Accelerators: 8},
			Speeds:             []float64{1},
			StartDelay:         100 * time.Millisecond,
			StopDelay:          200 * time.Millisecond,
			CheckpointInterval: 500 * time.Millisecond,
			StoreLatency:       4 * time.Millisecond,
		},
		Kinds: []JobKind{{
			Name: "gangs", Rate: 1, Attempts: 3, MeanTasks: 2, MaxTasks: 4, Accelerators: []int{1, 2}, Shape: job.Shape{CPUMillis: 1000, MemoryMB: 1000},
			MeanWork: time.Second, MaxWork: 2 * time.Second, WorkSpread: 0.2, GangShare: 1, Stretch: 2, Goal: time.Second, Value: 1,
		}},
	}
}

// simulate simulates a workload with the default settings.
func simulate(t *testing.T, w Workload, seed uint64) *Outcome {
	t.Helper()
	o, err := Simulate(w, pool.DefaultSettings(), seed)
	is.New(t).NoErr(err)
	return o
}

func TestAllJobsEndInTimeWithSpareCapacity(t *testing.T) {
	is := is.New(t)
	o := simulate(t, underloaded(), 1)
	is.Equal(o.Kinds[0].InTime, o.Kinds[0].Jobs)
	is.True(o.Kinds[0].Jobs > 0)
	is.Equal(o.ValueShare(), 1.0)
	is.Equal(o.Wasted, 0.0)
	is.True(o.Kinds[0].WaitQuantile(0.9) < 50*time.Millisecond)
}

func TestSameSeedGivesTheSameOutcome(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../examples/workloads/rush.ini")
	is.NoErr(err)
	rush, err := ParseWorkload(content)
	is.NoErr(err)
	for seed := range uint64(3) {
		is.Equal(simulate(t, rush, seed).Kinds, simulate(t, rush, seed).Kinds)
	}
	for seed := range uint64(randomWorkloads) {
		w := shortRandomWorkload(seed)
		first := simulate(t, w, seed)
		second := simulate(t, shortRandomWorkload(seed), seed)
		is.Equal(first.Kinds, second.Kinds)
		is.Equal(first.Used, second.Used)
		is.Equal(first.MeanFree, second.MeanFree)
	}
}

// Each trouble must reduce the value share of a workload that the pool serves completely without it. After the
// trouble the pool must recover and end all jobs.
func TestTroublesReduceValue(t *testing.T) {
	span := Span{At: 2 * time.Second, For: 4 * time.Second}
	for _, trouble := range []Trouble{
		SlowWorkers{Span: span, Share: 1, Factor: 6},
		FailingWorkers{Span: span, Share: 1},
		CrashingWorkers{Span: span, Share: 1},
		SilentStore{Span: span},
		SlowStore{Span: span, Factor: 100},
		HolderKilled{Span: span},
	} {
		t.Run(reflect.TypeOf(trouble).Name(), func(t *testing.T) {
			is := is.New(t)
			w := underloaded()
			w.Kinds[0].Goal = 100 * time.Millisecond
			w.Kinds[0].Stretch = 1.3
			undisturbed := simulate(t, w, 3)
			w.Troubles = []Trouble{trouble}
			disturbed := simulate(t, w, 3)
			is.True(disturbed.ValueShare() < undisturbed.ValueShare())
			is.True(disturbed.ValueShare() > 0)
			is.Equal(disturbed.Kinds[0].Unfinished, 0)
		})
	}
}

func TestBurstBringsMoreJobs(t *testing.T) {
	is := is.New(t)
	w := underloaded()
	before := len(w.GenerateArrivals(1))
	w.Troubles = []Trouble{Burst{Span: Span{At: 0, For: w.Length}, Of: "gangs", Factor: 3}}
	is.True(len(w.GenerateArrivals(1)) > 2*before)
}

// The bound must not be below any outcome, and must be below 1 if the jobs demand more than the capacity.
func TestNoOutcomeExceedsBound(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(randomWorkloads) {
		w := shortRandomWorkload(seed)
		is.True(simulate(t, w, seed).ValueShare() <= Bound(w, seed)+1e-9)
	}
	w := underloaded()
	w.Kinds[0].Rate = 30
	bound := Bound(w, 1)
	is.True(bound < 0.9)
	is.True(simulate(t, w, 1).ValueShare() <= bound)
}

// Work of the second job must move to another slot to admit the third.
func TestFlowReroutesWork(t *testing.T) {
	is := is.New(t)
	f := newFlow([]int64{5, 5})
	is.Equal(f.add([]edge{{slot: 0, capacity: 3}}, 3), int64(3))
	is.Equal(f.add([]edge{{slot: 0, capacity: 4}, {slot: 1, capacity: 4}}, 4), int64(4))
	is.Equal(f.add([]edge{{slot: 0, capacity: 9}}, 4), int64(2))
	is.Equal(f.add([]edge{{slot: 0, capacity: 9}, {slot: 1, capacity: 9}}, 9), int64(1))
}

func TestExamplesEarnTheirValue(t *testing.T) {
	for _, name := range []string{"rush.ini", "busy.ini"} {
		t.Run(name, func(t *testing.T) { checkOutcomes(t, filepath.Join("../examples/workloads", name)) })
	}
}

// checkOutcomes simulates a workload and fails the test if the value share is low, much work is lost or many jobs
// have not ended.
func checkOutcomes(t *testing.T, name string) {
	t.Helper()
	is := is.New(t)
	content, err := os.ReadFile(name)
	is.NoErr(err)
	w, err := ParseWorkload(content)
	is.NoErr(err)
	const seeds = 3
	valueShare, wasted, unfinished, jobs := 0.0, 0.0, 0, 0
	for seed := range uint64(seeds) {
		o := simulate(t, w, seed)
		valueShare += o.ValueShare() / seeds
		wasted += o.WastedShare() / seeds
		for _, k := range o.Kinds {
			unfinished += k.Unfinished
			jobs += k.Jobs
		}
	}
	t.Logf("value share %.3f, wasted share %.3f, %d of %d jobs had not ended", valueShare, wasted, unfinished, jobs)
	is.True(valueShare > 0.5)
	is.True(wasted < 0.15)
	is.True(10*unfinished < jobs)
}

func TestWorkloadErrorsNameSectionAndKey(t *testing.T) {
	const good = "[workload]\nlength = 10s\n[pool]\nworkers = 3\n[kind a]\nrate = 1\nwork = 1s\n"
	for name, test := range map[string]struct{ content, wants string }{
		"good":               {good, ""},
		"no workers":         {strings.Replace(good, "workers = 3", "", 1), `[pool] workers: "" is not a whole number from 1 to 20000`},
		"unknown key":        {good + "speed = 3\n", "[kind a] speed: is not known here"},
		"unknown section":    {good + "[kinds]\na = 1\n", "[kinds] : is not known here"},
		"bad time":           {strings.Replace(good, "work = 1s", "work = 1", 1), `[kind a] work: "1" is not a time`},
		"not a number":       {good + "value = NaN\n", `[kind a] value: "NaN" is not a number`},
		"share above 1":      {good + "gangs = 1.5\n", `[kind a] gangs: "1.5" is not a number from 0 to 1`},
		"unknown trouble":    {good + "[trouble x]\nwhat = rain\nat = 1s\nfor = 1s\n", `[trouble x] what: "rain" is none of`},
		"trouble after all":  {good + "[trouble x]\nwhat = silent-store\nat = 11s\nfor = 1s\n", `[trouble x] at: "11s" is not a time from 0s to 10s`},
		"burst of no kind":   {good + "[trouble x]\nwhat = burst\nof = b\nfactor = 2\nat = 1s\nfor = 1s\n", `there is no kind "b"`},
		"no kinds":           {"[workload]\nlength = 1s\n[pool]\nworkers = 1\n", "at least one is needed"},
		"two things at once": {strings.NewReplacer("workers = 3", "workers = x", "rate = 1", "rate = -1").Replace(good), "[kind a] rate"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseWorkload([]byte(test.content))
			if test.wants == "" {
				is.NoErr(err)
				return
			}
			var failure *Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Kind, KindWorkload)
			if !strings.Contains(err.Error(), test.wants) {
				t.Errorf("error %q does not contain %q", err, test.wants)
			}
		})
	}
}

func FuzzWorkload(f *testing.F) {
	content, err := os.ReadFile("../examples/workloads/rush.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = ParseWorkload(content)
	})
}

func TestSettingsAreChangedByName(t *testing.T) {
	is := is.New(t)
	s, err := WithSetting(pool.DefaultSettings(), "retain-for=4s")
	is.NoErr(err)
	is.Equal(s.RetainFor, 4*time.Second)
	s, err = WithSetting(s, "displace-factor=0.5")
	is.NoErr(err)
	is.Equal(s.DisplaceFactor, 0.5)
	s, err = WithSetting(s, "learn-lengths=true")
	is.NoErr(err)
	is.True(s.LearnLengths)
	s, err = WithSetting(s, "aside-after=7")
	is.NoErr(err)
	is.Equal(s.AsideAfter, 7)
	is.Equal(s.RetainFor, 4*time.Second)
	for _, text := range []string{"", "retain-for", "retain=4s", "retain-for=4", "aside-after=x", "displace-factor=x"} {
		_, err := WithSetting(s, text)
		var failure *Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Kind, KindSetting)
	}
}

func TestDifferenceHasAStandardError(t *testing.T) {
	is := is.New(t)
	outcome := func(valueShare float64) *Outcome {
		return &Outcome{Kinds: []KindOutcome{{TotalValue: 1, EarnedValue: valueShare}}}
	}
	pairs := []Pair{{outcome(0.5), outcome(0.6)}, {outcome(0.5), outcome(0.8)}}
	d := MeanDifference(pairs, (*Outcome).ValueShare)
	is.True(d.Mean > 0.1999 && d.Mean < 0.2001)
	is.True(d.StandardError > 0.0999 && d.StandardError < 0.1001)
	is.Equal(d.Pairs, 2)
}
