package entry

import (
	"slices"
	"time"
)

type (
	// sentJob is a job that this entry has sent to a hall.
	sentJob struct {
		hall         string
		accelerators int32
		// answeredAt is the time at which the hall answered, or failed to; zero before.
		answeredAt time.Time
	}

	// sentJobs holds the jobs that the halls' statuses may not contain.
	sentJobs struct {
		byHall map[string][]*sentJob
	}
)

func newSentJobs() sentJobs {
	return sentJobs{byHall: map[string][]*sentJob{}}
}

func (s sentJobs) add(j *sentJob) {
	s.byHall[j.hall] = append(s.byHall[j.hall], j)
}

// dropContained removes the jobs that a status contains: those that the hall had answered when the status was asked
// for. The hall may receive the others after it has made the status.
func (s sentJobs) dropContained(hall string, statusAskedAt time.Time) {
	s.byHall[hall] = slices.DeleteFunc(s.byHall[hall], func(j *sentJob) bool {
		return !j.answeredAt.IsZero() && j.answeredAt.Before(statusAskedAt)
	})
}

// accelerators returns the number of accelerators, by hall, that the jobs need.
func (s sentJobs) accelerators() map[string]int32 {
	result := map[string]int32{}
	for hall, jobs := range s.byHall {
		for _, j := range jobs {
			result[hall] += j.accelerators
		}
	}
	return result
}
