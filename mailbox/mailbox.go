// Package mailbox sends typed requests to actors and waits for typed replies.
package mailbox

import (
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

var (
	// ErrNoAnswer means that the actor did not reply in time.
	ErrNoAnswer = errors.New("mailbox: no answer in time")
	// ErrStopped means that the actor stopped without a reply.
	ErrStopped = errors.New("mailbox: the actor has stopped")
)

// livenessInterval is how often Call checks whether the actor still runs, because the actor system silently
// drops messages to stopped actors.
const livenessInterval = 50 * time.Millisecond

// Ask is a message with a request and a channel for its reply. The actor calls Reply once, immediately or
// later.
type Ask[Q, R any] struct {
	Question Q

	answer chan R
}

// Reply sends the reply. Only the first reply is delivered.
func (a Ask[Q, R]) Reply(answer R) {
	select {
	case a.answer <- answer:
	default:
	}
}

// NewAsk returns a message with the channel that receives its reply. Outside this package it is meant for
// tests.
func NewAsk[Q, R any](question Q) (Ask[Q, R], <-chan R) {
	ask := Ask[Q, R]{Question: question, answer: make(chan R, 1)}
	return ask, ask.answer
}

// Call sends a request to an actor and waits for the reply until the timeout.
func Call[Q, R any](root *actor.RootContext, pid *actor.PID, question Q, timeout time.Duration) (R, error) {
	ask, answer := NewAsk[Q, R](question)
	root.Send(pid, ask)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	livenessTicker := time.NewTicker(livenessInterval)
	defer livenessTicker.Stop()
	for {
		select {
		case reply := <-answer:
			return reply, nil
		case <-timer.C:
			var none R
			return none, ErrNoAnswer
		case <-livenessTicker.C:
			if _, alive := root.ActorSystem().ProcessRegistry.GetLocal(pid.GetId()); !alive {
				return lastAnswer(answer)
			}
		}
	}
}

// lastAnswer returns the reply that an actor sent before it stopped, or ErrStopped if there is none.
func lastAnswer[R any](answer <-chan R) (R, error) {
	select {
	case reply := <-answer:
		return reply, nil
	default:
		var none R
		return none, ErrStopped
	}
}
