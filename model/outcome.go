package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/pool"
)

type (
	// Outcome is the result of a simulated workload.
	Outcome struct {
		Kinds []KindOutcome
		// Available, Used and Wasted are accelerator seconds: the capacity of the workers while jobs arrived, the
		// time for which ended runs held accelerators, and the part of it that was spent on lost work.
		Available, Used, Wasted float64
		// MeanFree is the mean number of free accelerators while jobs arrived, by the rule that kept them free.
		// MeanInUse is the mean number of accelerators in use.
		MeanFree  FreeMeans
		MeanInUse float64

		workload Workload
		samples  float64
		jobs     []*jobOutcome
	}

	// KindOutcome is the outcome of the jobs of a kind.
	KindOutcome struct {
		Name string
		Jobs int
		// InTime and Late count the jobs that were done in time and too late, Failed the failed jobs, and
		// Unfinished the jobs that had not ended.
		InTime, Late, Failed, Unfinished int
		// TotalValue is the value of all jobs, EarnedValue the part of it that was earned.
		TotalValue, EarnedValue float64
		// Waits are the waiting times of jobs until their first start, in increasing order. Jobs without a start
		// are left out.
		Waits []time.Duration
	}

	// FreeMeans are mean numbers of free accelerators, by the rule that kept them free.
	FreeMeans struct {
		Open, Headroom, Reserved, Promised, OnProbation, Quarantined, Unavailable float64
	}

	jobOutcome struct {
		Arrival
		started    bool
		wait       time.Duration
		ended      bool
		state      pool.State
		turnaround time.Duration
	}
)

func newOutcome(workload Workload) *Outcome {
	o := &Outcome{workload: workload}
	for _, k := range workload.Kinds {
		o.Kinds = append(o.Kinds, KindOutcome{Name: k.Name})
	}
	return o
}

func (o *Outcome) addJob(a Arrival) *jobOutcome {
	j := &jobOutcome{Arrival: a}
	o.jobs = append(o.jobs, j)
	return j
}

func (j *jobOutcome) recordStart(at time.Duration) {
	if !j.started {
		j.started = true
		j.wait = at - j.At
	}
}

func (j *jobOutcome) recordEnd(state pool.State, at time.Duration) {
	if j.ended || state != pool.Done && state != pool.Failed {
		return
	}
	j.ended = true
	j.state = state
	j.turnaround = at - j.At
}

// recordRun adds the accelerator seconds of a run that ends and leaves an amount of work saved. Time spent on other
// work counts as wasted.
func (o *Outcome) recordRun(r *run, saved float64, now time.Time) {
	step := r.arrival.Job.Steps[0]
	for _, m := range r.members {
		held := float64(step.Shape.Accelerators) * now.Sub(m.startedAt).Seconds()
		o.Used += held
		worked := r.done - r.resumed
		if worked <= 0 {
			o.Wasted += held
			continue
		}
		o.Wasted += held * (1 - min(max(0, saved-r.resumed)/worked, 1))
	}
}

// sample adds the current use of the pool to the means.
func (o *Outcome) sample(sim *simulation) {
	if sim.storeClock() > o.workload.Length {
		return
	}
	o.samples++
	for _, w := range sim.workers {
		o.MeanInUse += float64(w.capacity.Accelerators - w.free().Accelerators)
	}
	if sim.noHolder || int(o.samples)%freeSampleInterval != 0 {
		return
	}
	free := sim.core.FreeAccelerators(sim.now)
	o.MeanFree.Open += freeSampleInterval * float64(free.Open)
	o.MeanFree.Headroom += freeSampleInterval * float64(free.Headroom)
	o.MeanFree.Reserved += freeSampleInterval * float64(free.Reserved)
	o.MeanFree.Promised += freeSampleInterval * float64(free.Promised)
	o.MeanFree.OnProbation += freeSampleInterval * float64(free.OnProbation)
	o.MeanFree.Quarantined += freeSampleInterval * float64(free.Quarantined)
	o.MeanFree.Unavailable += freeSampleInterval * float64(free.Unavailable)
}

// freeSampleInterval is the number of samples for each one that counts free accelerators by rule, which takes
// longer than counting those in use.
const freeSampleInterval = 4

// finish adds up the results of all jobs and computes the means.
func (o *Outcome) finish(sim *simulation) {
	o.Available = o.workload.Length.Seconds() * float64(o.workload.Pool.Workers*o.workload.Pool.WorkerCapacity.Accelerators)
	for _, j := range o.jobs {
		o.Kinds[j.Kind].add(j, o.workload.Kinds[j.Kind].LateValueShare)
	}
	for i := range o.Kinds {
		slices.Sort(o.Kinds[i].Waits)
	}
	for _, r := range sim.runs {
		if !r.ended {
			r.advance(sim.now)
		}
	}
	if o.samples == 0 {
		return
	}
	o.MeanInUse /= o.samples
	for _, mean := range []*float64{&o.MeanFree.Open, &o.MeanFree.Headroom, &o.MeanFree.Reserved, &o.MeanFree.Promised, &o.MeanFree.OnProbation, &o.MeanFree.Quarantined, &o.MeanFree.Unavailable} {
		*mean /= o.samples
	}
}

func (k *KindOutcome) add(j *jobOutcome, lateShare float64) {
	k.Jobs++
	k.TotalValue += j.Value
	if j.started {
		k.Waits = append(k.Waits, j.wait)
	}
	switch {
	case !j.ended:
		k.Unfinished++
	case j.state == pool.Failed:
		k.Failed++
	case j.At+j.turnaround <= j.Due:
		k.InTime++
		k.EarnedValue += j.Value
	case j.At+j.turnaround <= j.LateUntil:
		k.Late++
		k.EarnedValue += lateShare * j.Value
	default:
		k.Late++
	}
}

// ValueShare returns the earned share of the value of all jobs.
func (o *Outcome) ValueShare() float64 {
	total, earned := 0.0, 0.0
	for _, k := range o.Kinds {
		total += k.TotalValue
		earned += k.EarnedValue
	}
	if total == 0 {
		return 1
	}
	return earned / total
}

// LeastValueShare returns the lowest value share of any kind. A mean over all kinds hides a starved one.
func (o *Outcome) LeastValueShare() float64 {
	least := 1.0
	for _, k := range o.Kinds {
		least = min(least, k.ValueShare())
	}
	return least
}

// ValueShare returns the earned share of the value of the kind's jobs, 1 if there are none.
func (k KindOutcome) ValueShare() float64 {
	if k.TotalValue == 0 {
		return 1
	}
	return k.EarnedValue / k.TotalValue
}

// WastedShare returns the share of the used accelerator seconds that was spent on lost work.
func (o *Outcome) WastedShare() float64 {
	if o.Used == 0 {
		return 0
	}
	return o.Wasted / o.Used
}

// WaitQuantile returns the waiting time until the first start that a share of the kind's started jobs did not
// exceed.
func (k KindOutcome) WaitQuantile(share float64) time.Duration {
	if len(k.Waits) == 0 {
		return 0
	}
	return k.Waits[min(int(share*float64(len(k.Waits))), len(k.Waits)-1)]
}

// String returns the nonzero means as text for operators.
func (f FreeMeans) String() string {
	var parts []string
	for _, part := range []struct {
		mean float64
		text string
	}{
		{f.Open, "open"},
		{f.Headroom, "kept for urgent work"},
		{f.Reserved, "held for gangs"},
		{f.Promised, "promised"},
		{f.OnProbation, "on workers on trial"},
		{f.Quarantined, "on workers set aside"},
		{f.Unavailable, "on workers that get no work"},
	} {
		if part.mean > 0 {
			parts = append(parts, fmt.Sprintf("%.1f %s", part.mean, part.text))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
