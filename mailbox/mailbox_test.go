package mailbox

import (
	"errors"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/matryer/is"
)

// mute answers nothing.
type mute struct{}

func (mute) Receive(actor.Context) {}

// A question to an actor that had just stopped was waited for as long as for one that works.
func TestStoppedActorIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	system := actor.NewActorSystem()
	pid := system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return mute{} }))
	is.NoErr(system.Root.StopFuture(pid).Wait())
	began := time.Now()
	_, err := Call[string, string](system.Root, pid, "a question", 10*time.Second)
	is.True(errors.Is(err, ErrStopped))
	is.True(time.Since(began) < 5*time.Second)
}

func TestActorThatDoesNotAnswerIsGivenUp(t *testing.T) {
	is := is.New(t)
	system := actor.NewActorSystem()
	pid := system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return mute{} }))
	_, err := Call[string, string](system.Root, pid, "a question", 150*time.Millisecond)
	is.True(errors.Is(err, ErrNoAnswer))
}
