package job_test

import (
	"fmt"
	"time"

	"hollyfork.example/hollyfork/job"
)

func ExampleJob_Due() {
	j := job.Job{
		Accepted: time.Unix(0, 0).UTC(),
		Terms:    job.Terms{Stretch: 1.5, Goal: 250 * time.Millisecond},
		Steps:    []job.Step{{Count: 3, Gang: true, Estimate: 2 * time.Second}},
	}
	fmt.Println(j.Due().Sub(j.Accepted))
	// Output: 3.25s
}
