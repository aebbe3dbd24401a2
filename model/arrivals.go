package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hollyfork.example/hollyfork/job"
)

const (
	// arrivalStep is how finely rates that change are followed.
	arrivalStep = 10 * time.Millisecond
	// leastWork is the shortest task.
	leastWork = 20 * time.Millisecond
	// fixedValue is the part of a job's value that does not depend on its size, mostValue how many times the mean the
	// value of a large job is at most.
	fixedValue = 0.3
	mostValue  = 4
	// lateBy is how many times the time in which a job should be done late ones may take.
	lateBy = 3
)

// Arrival is a job that is handed in, with what its caller does not know.
type Arrival struct {
	Kind int
	// At is when it is sent, from the start of the play.
	At  time.Duration
	Job job.Job
	// Work is how long each task takes at speed 1.
	Work time.Duration
	// Value is what it is worth to its caller in time.
	Value float64
	// Due and LateUntil are when it should be done, and until when it is worth something.
	Due       time.Duration
	LateUntil time.Duration
}

// Draw draws the jobs of a workload. The same seed gives the same ones.
func (w Workload) Draw(seed uint64) []Arrival {
	var all []Arrival
	for i := range w.Kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, w.drawKind(i, random)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range all {
		all[i].Job.ID = job.ID(fmt.Sprintf("%016x", i+1))
	}
	return all
}

func (w Workload) drawKind(kind int, random *rand.Rand) []Arrival {
	var drawn []Arrival
	for at := time.Duration(0); at < w.Length; at += arrivalStep {
		for range poisson(random, w.rate(kind, at)*arrivalStep.Seconds()) {
			within := time.Duration(random.Int64N(int64(arrivalStep)))
			drawn = append(drawn, w.Kinds[kind].draw(kind, at+within, random))
		}
	}
	return drawn
}

// rate is the mean number of jobs of a kind a second at a time.
func (w Workload) rate(kind int, at time.Duration) float64 {
	k := w.Kinds[kind]
	rate := k.Rate
	if k.Period > 0 {
		rate *= 1 + k.Swing*math.Sin(2*math.Pi*at.Seconds()/k.Period.Seconds())
	}
	for _, t := range w.Troubles {
		if b, ok := t.(Burst); ok && b.Of == k.Name && at >= b.At && at < b.end() {
			rate *= b.Factor
		}
	}
	return rate
}

// poisson draws a number of events of which there are mean on average.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for product := random.Float64(); product > math.Exp(-mean); product *= random.Float64() {
		count++
	}
	return count
}

func (k JobKind) draw(kind int, at time.Duration, random *rand.Rand) Arrival {
	tasks := min(max(1, int(math.Round(k.Tasks*random.ExpFloat64()))), k.TasksMost)
	work := k.Work.Seconds() * (1 + k.WorkSpread*random.NormFloat64())
	length := min(max(time.Duration(work*float64(time.Second)), leastWork), k.WorkMost)
	guess := 1 + k.GuessOff*(2*random.Float64()-1)
	step := job.Step{
		Count:      tasks,
		Shape:      k.Shape,
		Estimate:   max(time.Duration(guess*float64(length)), leastWork),
		Checkpoint: random.Float64() < k.Saving,
		Gang:       random.Float64() < k.Gangs && tasks > 1,
		SameRack:   random.Float64() < k.OneRack,
	}
	step.SameRack = step.SameRack && step.Gang
	step.Shape.Accelerators = k.Accelerators[random.IntN(len(k.Accelerators))]
	inTime := time.Duration(k.Stretch*float64(length)) + k.Goal
	size := float64(tasks*step.Shape.Accelerators) * length.Seconds() / k.meanSize()
	return Arrival{
		Kind:      kind,
		At:        at,
		Work:      length,
		Value:     k.Value * min(fixedValue+(1-fixedValue)*size, mostValue),
		Due:       at + inTime,
		LateUntil: at + lateBy*inTime,
		Job: job.Job{
			Queue:     k.Name,
			Workspace: "everyone",
			Spec:      k.Name,
			Steps:     []job.Step{step},
			Terms:     job.Terms{Priority: k.Priority, Attempts: k.Attempts, Stretch: k.Stretch, Goal: k.Goal},
		},
	}
}

// meanSize is a job's mean size in seconds of one accelerator.
func (k JobKind) meanSize() float64 {
	sum := 0
	for _, a := range k.Accelerators {
		sum += a
	}
	return max(k.Tasks, 1) * float64(sum) / float64(len(k.Accelerators)) * k.Work.Seconds()
}
