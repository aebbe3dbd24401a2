package job

import "time"

// MaxRounds limits the rounds of a job. One round per minute takes more than a year to reach it.
const MaxRounds = 600_000

// maxScheduleLength limits the time from the first round to the last: a century.
const maxScheduleLength = 100 * 365 * 24 * time.Hour

// Schedule defines the wall-clock times at which a job's steps are to run. The zero value is the schedule of a job
// that runs once, as soon as it is accepted.
type Schedule struct {
	// Repeats is the number of rounds; 0 for a job without a schedule.
	Repeats int
	// First is the time at which the first round is to start, and Interval the time from one round to the next.
	First    time.Time
	Interval time.Duration
}

// Immediate reports whether the job runs once, as soon as it is accepted.
func (s Schedule) Immediate() bool {
	return s.Repeats == 0
}

// Rounds returns the number of rounds, at least 1.
func (s Schedule) Rounds() int {
	return max(1, s.Repeats)
}

// EarliestStart returns the time at which a round of the job may start: its scheduled time, or the time of acceptance
// if the job has no schedule. Scheduled times are wall-clock times and must not be compared with a monotonic clock.
func (j Job) EarliestStart(round int) time.Time {
	if j.Schedule.Immediate() {
		return j.Accepted
	}
	return j.Schedule.First.Add(time.Duration(round) * j.Schedule.Interval)
}

// RoundDue returns the time by which a round of the job should be done.
func (j Job) RoundDue(round int) time.Time {
	return j.EarliestStart(round).Add(time.Duration(j.Terms.Stretch * float64(j.CriticalPath()))).Add(j.Terms.Goal)
}

func (s Schedule) validate() error {
	switch {
	case s.Repeats < 0 || s.Repeats > MaxRounds:
		return invalid("a job repeats at most %d times", MaxRounds)
	case s.Repeats > 0 && s.First.IsZero():
		return invalid("a job that repeats needs a first time")
	case s.Interval < 0:
		return invalid("the interval between two rounds is negative")
	case s.Interval > maxScheduleLength/time.Duration(s.Rounds()):
		return invalid("the rounds take over %s", maxScheduleLength)
	}
	return nil
}
