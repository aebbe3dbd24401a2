package job

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func validJob() Job {
	return Job{ID: "0123456789abcdef", Spec: "x", Steps: []Step{{Count: 2}, {Count: 1, After: []int{0}}}}
}

func TestValidate(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Job)
		reason string
	}{
		{"as it is", func(*Job) {}, ""},
		{"short identifier", func(j *Job) { j.ID = "123" }, "identifier"},
		{"capitals in it", func(j *Job) { j.ID = "0123456789ABCDEF" }, "identifier"},
		{"long spec", func(j *Job) { j.Spec = strings.Repeat("x", MaxSpecBytes+1) }, "spec"},
		{"no steps", func(j *Job) { j.Steps = nil }, "steps"},
		{"no tasks", func(j *Job) { j.Steps[0].Count = 0 }, "tasks"},
		{"too many tasks", func(j *Job) { j.Steps[0].Count = MaxTasks }, "tasks"},
		{"negative amount", func(j *Job) { j.Steps[0].Shape.MemoryMB = -1 }, "negative"},
		{"follows itself", func(j *Job) { j.Steps[1].After = []int{1} }, "earlier"},
		{"follows nothing", func(j *Job) { j.Steps[1].After = []int{-1} }, "earlier"},
		{"negative rounds", func(j *Job) { j.Schedule.Repeats = -1 }, "repeats"},
		{"rounds without a first time", func(j *Job) { j.Schedule.Repeats = 2 }, "first time"},
		{"negative interval", func(j *Job) { j.Schedule = Schedule{Repeats: 2, First: time.Unix(1, 0), Interval: -1} }, "interval"},
		{"rounds over centuries", func(j *Job) {
			j.Schedule = Schedule{Repeats: 1000, First: time.Unix(1, 0), Interval: math.MaxInt64}
		}, "rounds"},
		{"amount past its type", func(j *Job) { j.Steps[0].Shape.CPUMillis = math.MaxInt32 + 1 }, "over"},
		{"limit past its type", func(j *Job) { j.Steps[1].MaxPerWorker = 1 << 32 }, "over"},
		{"long label", func(j *Job) { j.Steps[0].Label = strings.Repeat("x", maxLabelBytes+1) }, "label"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			j := validJob()
			test.change(&j)
			err := j.Validate()
			if test.reason == "" {
				is.NoErr(err)
				return
			}
			is.True(strings.Contains(err.Error(), test.reason)) // the reason is named
		})
	}
}

func TestParseTaskID(t *testing.T) {
	is := is.New(t)
	id := TaskID{Job: "0123456789abcdef", Round: 1, Step: 2, Index: 17}
	parsed, ok := ParseTaskID(id.String())
	is.True(ok)
	is.Equal(parsed, id)
	for _, text := range []string{"", "a.1.2", "a.1.2.3.4", "a.x.2.3", "a.-1.2.3", ".1.2.3"} {
		_, ok := ParseTaskID(text)
		is.True(!ok) // not a task's name
	}
}

func TestFitCount(t *testing.T) {
	is := is.New(t)
	worker := Shape{CPUMillis: 8000, MemoryMB: 100, Accelerators: 4}
	is.Equal(worker.FitCount(Shape{CPUMillis: 1000}), 8)
	is.Equal(worker.FitCount(Shape{CPUMillis: 1000, MemoryMB: 30, Accelerators: 1}), 3)
	is.Equal(worker.Sub(Shape{Accelerators: 5}).FitCount(Shape{Accelerators: 1}), 0)
}

func TestDueUsesCriticalPath(t *testing.T) {
	is := is.New(t)
	j := Job{
		Accepted: time.Unix(100, 0),
		Terms:    Terms{Stretch: 2, Goal: time.Second},
		Steps:    []Step{{Estimate: 3 * time.Second}, {Estimate: 10 * time.Second}, {Estimate: 4 * time.Second, After: []int{0}}},
	}
	is.Equal(j.Due(), time.Unix(100+2*10+1, 0))
}
