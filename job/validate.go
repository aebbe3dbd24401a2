package job

import (
	"fmt"
	"math"
)

// Limits of a submitted job.
const (
	// MaxSpecBytes limits the length of Job.Spec.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks keep a job's rows well below the store's limit on the size of a row.
	MaxSteps = 100
	MaxTasks = 1000

	// maxAmount limits all numbers of a step, as rows and messages have them in 32 bits.
	maxAmount = math.MaxInt32

	idDigits      = 16
	maxLabelBytes = 200
)

// Error describes why a job is invalid. It is the error type of this package.
type Error struct {
	Op     string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return "job: " + e.Op + ": " + e.Reason
}

func invalid(format string, args ...any) *Error {
	return &Error{Op: "validate", Reason: fmt.Sprintf(format, args...)}
}

// ValidID reports whether a text is an identifier: 16 lower-case hexadecimal digits.
func ValidID(text string) bool {
	if len(text) != idDigits {
		return false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Validate returns an *Error for the first fault of a job, or nil if the job is valid.
func (j Job) Validate() error {
	switch {
	case !ValidID(string(j.ID)):
		return invalid("the identifier is not of %d hexadecimal digits", idDigits)
	case len(j.Spec) > MaxSpecBytes:
		return invalid("the spec has over %d bytes", MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return invalid("a job has 1 to %d steps", MaxSteps)
	}
	if err := j.Schedule.validate(); err != nil {
		return err
	}
	tasks := 0
	for i, step := range j.Steps {
		if err := step.validate(i); err != nil {
			return err
		}
		tasks += step.Count
	}
	if tasks > MaxTasks {
		return invalid("a job has at most %d tasks", MaxTasks)
	}
	return nil
}

func (s Step) validate(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return invalid("step %d: a step has 1 to %d tasks", number, MaxTasks)
	case s.Shape.CPUMillis < 0 || s.Shape.MemoryMB < 0 || s.Shape.Accelerators < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.LatencyTarget < 0:
		return invalid("step %d: an amount is negative", number)
	case s.Shape.CPUMillis > maxAmount || s.Shape.MemoryMB > maxAmount || s.Shape.Accelerators > maxAmount || s.MaxPerWorker > maxAmount || s.MaxUnavailable > maxAmount:
		return invalid("step %d: an amount is over %d", number, maxAmount)
	case len(s.Label) > maxLabelBytes || len(s.DataRack) > maxLabelBytes:
		return invalid("step %d: a label has over %d bytes", number, maxLabelBytes)
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return invalid("step %d: it can only follow earlier steps, not %d", number, before)
		}
	}
	return nil
}
