package agent

import (
	"fmt"
	"strconv"
	"strings"

	"hollyfork.example/wire"
)

const keyParts = 3

// attemptKey identifies an attempt of a job.
type attemptKey struct {
	job     string
	attempt int32
}

func keyOf(id *wire.AttemptId) attemptKey {
	return attemptKey{job: id.GetJob(), attempt: id.GetAttempt()}
}

func (k attemptKey) id() *wire.AttemptId {
	return &wire.AttemptId{Job: k.job, Attempt: k.attempt}
}

// taskKey returns the key under which the worker runs a task of the attempt.
func (k attemptKey) taskKey(index int32) string {
	return fmt.Sprintf("%s~%d~%d", k.job, k.attempt, index)
}

// parseTaskKey parses a key made by taskKey; ok is false for any other text.
func parseTaskKey(key string) (k attemptKey, index int32, ok bool) {
	parts := strings.Split(key, "~")
	if len(parts) != keyParts {
		return attemptKey{}, 0, false
	}
	attempt, err := strconv.ParseInt(parts[1], 10, 32)
	if err != nil {
		return attemptKey{}, 0, false
	}
	number, err := strconv.ParseInt(parts[2], 10, 32)
	if err != nil {
		return attemptKey{}, 0, false
	}
	return attemptKey{job: parts[0], attempt: int32(attempt)}, int32(number), true
}
