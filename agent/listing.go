package agent

import (
	"time"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/wire"
)

// Listed updates the attempts from the worker's answer to a list request. sentAt is the time of the request.
func (c *Core) Listed(sentAt time.Time, list []platform.TaskStatus) {
	c.listedAt = sentAt
	listed := map[string]platform.TaskStatus{}
	for _, status := range list {
		c.adopt(status)
		listed[status.Key] = mergeStatus(listed, status)
	}
	if !c.adopted {
		c.adopted = true
		c.report++
	}
	for _, a := range c.attempts {
		changed := c.observeTasks(sentAt, a, listed)
		if c.learnOthers(a) || changed {
			c.updateAttempt(a)
		}
	}
}

// mergeStatus returns the status to use for a key. If the worker lists a key twice, a running task takes precedence.
func mergeStatus(listed map[string]platform.TaskStatus, status platform.TaskStatus) platform.TaskStatus {
	if known, ok := listed[status.Key]; ok && known.State == platform.TaskRunning {
		return known
	}
	return status
}

// adopt records a listed task that is unknown because an earlier incarnation started it.
func (c *Core) adopt(status platform.TaskStatus) {
	key, index, ok := parseTaskKey(status.Key)
	if !ok {
		return
	}
	a, known := c.attempts[key]
	if !known {
		a = c.addInherited(key, wire.AttemptState_RUNNING)
	}
	if a.findTask(index) != nil {
		return
	}
	if known && a.state == wire.AttemptState_NEVER_RAN {
		a.state = wire.AttemptState_STOPPING
	}
	a.tasks = append(a.tasks, &task{
		index:            index,
		firstAccelerator: int32(status.FirstAccelerator),
		accelerators:     int32(status.Accelerators),
		state:            taskUnconfirmed,
	})
}

func (c *Core) observeTasks(sentAt time.Time, a *attempt, listed map[string]platform.TaskStatus) bool {
	changed := false
	for _, t := range a.tasks {
		if t.state == taskReserved {
			continue
		}
		status, ok := listed[a.key.taskKey(t.index)]
		if ok {
			changed = t.observe(sentAt, status) || changed
		} else {
			changed = t.observeMissing(sentAt, a.startBy) || changed
		}
	}
	return changed
}
