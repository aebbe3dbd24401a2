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
	// arrivalStep is the interval over which an arrival rate is taken as constant.
	arrivalStep = 10 * time.Millisecond
	// minWork is the shortest duration of a task, and its shortest estimate.
	minWork = 20 * time.Millisecond
	// fixedValueShare is the part of a job's value that does not depend on its size. maxValueFactor limits the
	// value of a large job, as a multiple of the value of a job of mean size.
	fixedValueShare = 0.3
	maxValueFactor  = 4
	// lateFactor is the time after which a job has no value any more, as a multiple of the time in which it should
	// be done.
	lateFactor = 3
)

// Arrival is a submitted job with the properties that its caller does not know.
type Arrival struct {
	Kind int
	// At is the time of submission since the start of the simulation.
	At  time.Duration
	Job job.Job
	// Work is the duration of each task at speed 1.
	Work time.Duration
	// Value is the job's value to its caller if it is done in time.
	Value float64
	// Due is when the job should be done. It keeps a part of its value until LateUntil, and none after that.
	Due       time.Duration
	LateUntil time.Duration
}

// GenerateArrivals draws the jobs of a workload at random, in the order of their arrival. The same seed gives the
// same jobs.
func (w Workload) GenerateArrivals(seed uint64) []Arrival {
	var arrivals []Arrival
	for i := range w.Kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		arrivals = append(arrivals, w.generateKind(i, random)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range arrivals {
		arrivals[i].Job.ID = job.ID(fmt.Sprintf("%016x", i+1))
	}
	return arrivals
}

func (w Workload) generateKind(kind int, random *rand.Rand) []Arrival {
	var arrivals []Arrival
	for at := time.Duration(0); at < w.Length; at += arrivalStep {
		for range poisson(random, w.rate(kind, at)*arrivalStep.Seconds()) {
			offset := time.Duration(random.Int64N(int64(arrivalStep)))
			arrivals = append(arrivals, w.Kinds[kind].newArrival(kind, at+offset, random))
		}
	}
	return arrivals
}

// rate returns the mean number of jobs of a kind per second at a time.
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

// poisson draws a number from the Poisson distribution with a mean.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for product := random.Float64(); product > math.Exp(-mean); product *= random.Float64() {
		count++
	}
	return count
}

func (k JobKind) newArrival(kind int, at time.Duration, random *rand.Rand) Arrival {
	tasks := min(max(1, int(math.Round(k.MeanTasks*random.ExpFloat64()))), k.MaxTasks)
	work := k.MeanWork.Seconds() * (1 + k.WorkSpread*random.NormFloat64())
	length := min(max(time.Duration(work*float64(time.Second)), minWork), k.MaxWork)
	estimateFactor := 1 + k.EstimateError*(2*random.Float64()-1)
	step := job.Step{
		Count:      tasks,
		Shape:      k.Shape,
		Estimate:   max(time.Duration(estimateFactor*float64(length)), minWork),
		Checkpoint: random.Float64() < k.CheckpointShare,
		Gang:       random.Float64() < k.GangShare && tasks > 1,
		SameRack:   random.Float64() < k.SameRackShare,
	}
	step.SameRack = step.SameRack && step.Gang
	step.Shape.Accelerators = k.Accelerators[random.IntN(len(k.Accelerators))]
	allowed := time.Duration(k.Stretch*float64(length)) + k.Goal
	size := float64(tasks*step.Shape.Accelerators) * length.Seconds() / k.meanSize()
	return Arrival{
		Kind:      kind,
		At:        at,
		Work:      length,
		Value:     k.Value * min(fixedValueShare+(1-fixedValueShare)*size, maxValueFactor),
		Due:       at + allowed,
		LateUntil: at + lateFactor*allowed,
		Job: job.Job{
			Queue:     k.Name,
			Workspace: "everyone",
			Spec:      k.Name,
			Steps:     []job.Step{step},
			Terms:     job.Terms{Priority: k.Priority, Attempts: k.Attempts, Stretch: k.Stretch, Goal: k.Goal},
		},
	}
}

// meanSize returns the mean size of a job in accelerator seconds.
func (k JobKind) meanSize() float64 {
	sum := 0
	for _, a := range k.Accelerators {
		sum += a
	}
	return max(k.MeanTasks, 1) * float64(sum) / float64(len(k.Accelerators)) * k.MeanWork.Seconds()
}
