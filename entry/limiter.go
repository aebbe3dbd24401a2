package entry

import (
	"sync"

	"hollyfork.example/hollyfork/api"
)

// workspaceShare is the maximum share of the concurrent requests that the submissions of one workspace may take, so
// that a burst from one workspace does not block the others.
const workspaceShare = 0.5

// submissionLimiter limits the concurrent submissions of each workspace. Create it with newSubmissionLimiter.
type submissionLimiter struct {
	limit int

	mu         sync.Mutex
	inProgress map[string]int
}

func newSubmissionLimiter(maxRequests int) *submissionLimiter {
	limit := max(1, int(workspaceShare*float64(maxRequests)))
	return &submissionLimiter{limit: limit, inProgress: map[string]int{}}
}

// acquire registers a submission, or returns an error if its workspace has reached the limit. If it returns nil,
// release must be called when the submission is done.
func (l *submissionLimiter) acquire(workspace string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inProgress[workspace] >= l.limit {
		return api.NewError(api.KindOverloaded, "workspace "+workspace+" submits too much at once").WithRetryAfter(retryAfter)
	}
	l.inProgress[workspace]++
	return nil
}

func (l *submissionLimiter) release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress[workspace]--
	if l.inProgress[workspace] == 0 {
		delete(l.inProgress, workspace)
	}
}
