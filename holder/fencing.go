package holder

import (
	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/wire/poolpb"
)

// fencing chooses the fencing number of the messages to an agent, which its calls to the worker contain. The number
// rises with each incarnation of the agent and each instance of the worker that replies show: a message that names an
// incarnation has a higher number than all messages before it that didn't. It is never above the last version of the
// holder's own lease row, so each number of the next holder is higher.
type fencing struct {
	writer *FencedWriter
	number uint64
	// instance is the last instance that a reply showed, of a worker whose name may recur.
	instance instance.ID
	// raiseDue is set while the number has to rise and the lease row has no higher version yet.
	raiseDue bool
}

// handleReply applies a reply of the agent, the newest one so far. sameIncarnation reports whether it is of the
// incarnation that the reply before it was of.
func (f *fencing) handleReply(reply *poolpb.SyncReply, sameIncarnation bool) {
	if !sameIncarnation {
		f.raiseDue = true
	}
	if id := instance.Parse(reply.GetWorker().GetInstance()); id.NameMayRecur() && id != f.instance {
		f.instance = id
		f.raiseDue = true
	}
	// An agent that served another pool may have seen a higher number there.
	if seen := reply.GetEpoch(); seen > f.number && seen <= f.writer.LastVersion() {
		f.number = seen
		f.raiseDue = true
	}
}

// next returns the number of the next message, given the agent's last reply. While a raise is due, it is a number that
// the agent has seen: an earlier incarnation may have seen a higher one, which would not be a raise.
func (f *fencing) next(last *poolpb.SyncReply) uint64 {
	if f.raiseDue && f.number < f.writer.LastVersion() {
		f.number++
		f.raiseDue = false
	}
	if seen := last.GetEpoch(); f.raiseDue && seen > 0 {
		return min(seen, f.number)
	}
	return f.number
}
