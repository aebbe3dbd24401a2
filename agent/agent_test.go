package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/process/actors"
	"hollyfork.example/wire"
)

// idleWorker is a worker without tasks.
type idleWorker struct{ Worker }

func (idleWorker) List(context.Context) ([]platform.TaskStatus, error) { return nil, nil }

// An earlier holder's renewal that waits for news is refused as soon as the agent meets a later holder.
func TestWaitingRenewalOfAnEarlierHolderIsRefusedAtOnce(t *testing.T) {
	for how, meet := range map[string]func(*Agent){
		"later holder calls": func(a *Agent) {
			_ = a.Service().Sync(&wire.SyncRequest{Epoch: 2}, &wire.SyncReply{})
		},
		"epoch read from the store": func(a *Agent) { a.LearnEpoch(2) },
	} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			logger := &log.Logger{Level: log.PanicLevel}
			a := New(clock.Now(), actors.NewSystem(logger), idleWorker{}, "incarnation", "machine", logger)
			defer func() { is.NoErr(a.Close()) }()
			request := &wire.SyncRequest{Epoch: 1, Incarnation: "incarnation", WaitMs: 5000}
			first := &wire.SyncReply{}
			is.NoErr(a.Service().Sync(request, first)) // Its report has changed.
			request.SeenReport = first.GetReport()
			waiting := &wire.SyncReply{}
			answered := make(chan error, 1)
			go func() { answered <- a.Service().Sync(request, waiting) }()
			select {
			case err := <-answered:
				t.Fatalf("the renewal did not wait: %v", err)
			case <-time.After(200 * time.Millisecond):
			}
			meet(a)
			select {
			case err := <-answered:
				is.NoErr(err)
				is.Equal(waiting.GetRefusal().GetKind(), wire.Refusal_OLD_EPOCH)
			case <-time.After(2 * time.Second):
				t.Fatal("the renewal still waits")
			}
		})
	}
}
