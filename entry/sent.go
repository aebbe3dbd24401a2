package entry

import (
	"slices"
	"time"
)

type (
	// sentJob is a job that this entry has sent to a hall.
	sentJob struct {
		number       uint64
		accelerators int32
		// answered is set once the hall has answered, or its answer is not awaited any more; answeredAt is when.
		answered   bool
		answeredAt time.Time
	}

	// sentJobs holds, by hall, the jobs that the hall's last status may not contain.
	sentJobs map[string][]sentJob
)

// withAnswer returns the job with the time of the hall's answer.
func (j sentJob) withAnswer(at time.Time) sentJob {
	j.answered, j.answeredAt = true, at
	return j
}

// add adds a job. Jobs that were answered longer ago than a status is used are dropped, so that they do not accumulate
// for a hall that answers no question for its status.
func (s sentJobs) add(now time.Time, hall string, j sentJob) {
	s.dropAnsweredBefore(hall, now.Add(-maxStatusAge))
	s[hall] = append(s[hall], j)
}

// recordAnswer records that a hall has answered a job.
func (s sentJobs) recordAnswer(now time.Time, hall string, number uint64) {
	for i, j := range s[hall] {
		if j.number == number {
			s[hall][i] = j.withAnswer(now)
		}
	}
}

// dropAnsweredBefore removes the jobs that a hall had answered before a time. A status that was requested then contains
// them. The hall may receive the others after it has made the status.
func (s sentJobs) dropAnsweredBefore(hall string, at time.Time) {
	s[hall] = slices.DeleteFunc(s[hall], func(j sentJob) bool { return j.answered && j.answeredAt.Before(at) })
}

// accelerators returns the number of accelerators, by hall, that the jobs need.
func (s sentJobs) accelerators() map[string]int32 {
	result := map[string]int32{}
	for hall, jobs := range s {
		for _, j := range jobs {
			result[hall] += j.accelerators
		}
	}
	return result
}
