package model

import (
	"container/heap"
	"time"
)

type (
	// event is an action at a time. Events at the same time are executed in the order in which they were added.
	event struct {
		at     time.Time
		number int
		action func()
	}

	// eventQueue is a priority queue of events, the earliest first. It implements heap.Interface.
	eventQueue struct {
		events []event
		added  int
	}
)

// Len implements heap.Interface.
func (q *eventQueue) Len() int {
	return len(q.events)
}

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	if a.at.Equal(b.at) {
		return a.number < b.number
	}
	return a.at.Before(b.at)
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) {
	q.events[i], q.events[j] = q.events[j], q.events[i]
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	q.events = append(q.events, x.(event))
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	e := q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	return e
}

func (q *eventQueue) add(at time.Time, do func()) {
	q.added++
	heap.Push(q, event{at: at, number: q.added, action: do})
}

// next removes and returns the earliest event.
func (q *eventQueue) next() event {
	return heap.Pop(q).(event)
}
