package entry

import (
	"context"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/wire"
)

// rebalance asks halls with waiting jobs to move some of them to halls with free accelerators. All entries do so
// independently; a hall decides itself which of its jobs may move.
func (e *Entry) rebalance() {
	view := e.View()
	for _, from := range e.settings.Halls {
		waiting := view.Halls[from].GetQueuedAccelerators()
		if waiting == 0 {
			continue
		}
		to, room := mostFree(view, e.settings.Halls, from)
		if room <= 0 {
			continue
		}
		e.moveJobs(from, to, min(room, waiting))
	}
}

// mostFree returns the hall other than from with the most free accelerators, and their number.
func mostFree(view View, halls []string, from string) (to string, room int32) {
	for _, name := range halls {
		if name == from || view.Halls[name] == nil {
			continue
		}
		if r := view.freeAccelerators(name); r > room {
			to, room = name, r
		}
	}
	return to, room
}

func (e *Entry) moveJobs(from, to string, accelerators int32) {
	ctx, cancel := context.WithTimeout(e.ctx, viewTimeout)
	defer cancel()
	request := &wire.MoveRequest{To: to, Accelerators: accelerators}
	reply, err := callHolder[wire.MoveReply](ctx, e.directory, from, "Move", request)
	if err != nil || reply.GetAccelerators() == 0 {
		return
	}
	moved := sentJob{number: e.sentCount.Add(1), accelerators: reply.GetAccelerators()}.withAnswer(clock.Now())
	e.deps.System.Root.Send(e.catalog, jobSent{hall: to, job: moved})
	e.deps.Logger.Info().Str("from", from).Str("to", to).Int32("accelerators", reply.GetAccelerators()).Msg("entry: waiting jobs are moved to another hall")
}
