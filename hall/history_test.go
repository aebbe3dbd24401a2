package hall

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

// The same histories are tried each time; -rapid.seed and -rapid.checks try others.
func init() {
	if err := flag.Set("rapid.seed", "20260402"); err != nil {
		panic(err)
	}
}

// history drives a world with random requests and failures, and judges what the
// workers recorded.
type history struct {
	*world

	specs map[string]*wire.JobSpec
	next  int
}

func (h *history) jobID(t *rapid.T) string {
	if h.next == 0 {
		t.Skip("no job")
	}
	return fmt.Sprintf("j%d", rapid.IntRange(1, h.next).Draw(t, "job"))
}

func (h *history) submitNew(t *rapid.T) {
	h.next++
	id := fmt.Sprintf("j%d", h.next)
	spec := &wire.JobSpec{
		Workspace:  rapid.SampledFrom([]string{"captions", "archive"}).Draw(t, "workspace"),
		Shape:      &wire.Shape{Accelerators: rapid.SampledFrom([]int32{1, 4, 8}).Draw(t, "accelerators")},
		Tasks:      rapid.SampledFrom([]int32{1, 1, 2, 4}).Draw(t, "tasks"),
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Command:    []string{"run", rapid.SampledFrom([]string{"100ms", "3s", "20s"}).Draw(t, "length")},
	}
	h.specs[id] = spec
	h.submit(id, spec)
}

func (h *history) submitAgain(t *rapid.T) {
	id := h.jobID(t)
	h.submit(id, h.specs[id])
}

func (h *history) cancelOne(t *rapid.T) {
	h.cancel(h.jobID(t))
}

func (h *history) message(t *rapid.T) int {
	if len(h.messages) == 0 {
		t.Skip("nothing is on its way")
	}
	return rapid.IntRange(0, len(h.messages)-1).Draw(t, "message")
}

func (h *history) deliver(t *rapid.T) {
	h.take(h.message(t), false)
}

func (h *history) deliverMany(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "messages") {
		if len(h.messages) > 0 {
			h.take(0, false)
		}
	}
}

func (h *history) drop(t *rapid.T) {
	h.take(h.message(t), true)
}

// giveUp lets the sender of a request give up, while the request still arrives later.
func (h *history) giveUp(t *rapid.T) {
	if m := h.messages[h.message(t)]; m.giveUp != nil {
		m.giveUp()
	}
}

func (h *history) pass(t *rapid.T) {
	ms := rapid.SampledFrom([]int{10, 300, 1000, 4000, 30_000}).Draw(t, "ms")
	h.advance(time.Duration(ms) * time.Millisecond)
}

// calm lets everything work for a moment, so that runs get somewhere.
func (h *history) calm(t *rapid.T) {
	h.settle(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
}

func (h *history) anyNode(t *rapid.T) *node {
	return h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(t, "node")]
}

func (h *history) killAgent(t *rapid.T)   { h.restartAgent(h.anyNode(t)) }
func (h *history) replaceOne(t *rapid.T)  { h.replaceVM(h.anyNode(t)) }
func (h *history) killHolder(t *rapid.T)  { h.newest().dead = true; h.takeOver() }
func (h *history) raceHolder(t *rapid.T)  { h.takeOver() }
func (h *history) cutNode(t *rapid.T)     { n := h.anyNode(t); n.cut = !n.cut }
func (h *history) pauseAgent(t *rapid.T)  { n := h.anyNode(t); n.proc.paused = !n.proc.paused }
func (h *history) pauseHolder(t *rapid.T) { h.newest().paused = !h.newest().paused }
func (h *history) toggleStore(t *rapid.T) { h.storeDown = !h.storeDown }

const otherHall = "asahikawa-hall"

// moveSome gives waiting jobs to another hall.
func (h *history) moveSome(*rapid.T) {
	if holder := h.newest(); holder.runs() {
		holder.core.Move(h.now, otherHall, 16)
		h.pump(holder)
	}
}

// giveBack lets the other hall give back a job that it was given, and the holder see it.
func (h *history) giveBack(t *rapid.T) {
	rows := h.store.Rows(rowsWith(movedPrefix(otherHall)))
	if len(rows) == 0 {
		t.Skip("nothing was moved")
	}
	stored := &wire.StoredJob{}
	if err := decode(rows[0], stored); err != nil {
		t.Fatal(err)
	}
	stored.Job.Hall = worldHall
	id := stored.GetJob().GetId()
	h.store.Apply(store.Txn{Writes: []store.Write{
		{Key: rows[0].Key, Delete: true},
		{Key: movedKey(worldHall, id), Value: encode(stored)},
		{Key: ClaimKey(id), Value: encode(&wire.Claim{Hall: worldHall})},
	}})
	h.lookForMoved()
}

// lookForMoved shows the newest holder the jobs that were given to its hall.
func (h *history) lookForMoved() {
	holder := h.newest()
	if !holder.runs() {
		return
	}
	for _, row := range h.store.Rows(rowsWith(movedPrefix(worldHall))) {
		stored := &wire.StoredJob{}
		_ = decode(row, stored)
		holder.core.Receive(h.now, row, stored)
	}
	h.pump(holder)
}

// checkPlaces expects each job to have a row in one place at most.
func (h *history) checkPlaces(t *rapid.T) {
	places := map[string]int{}
	for _, prefix := range []string{livePrefix(worldHall), endedPrefix(worldHall), movedPrefix(worldHall), movedPrefix(otherHall)} {
		for _, stored := range h.stored(prefix) {
			id := stored.GetJob().GetId()
			places[id]++
			if places[id] > 1 {
				t.Fatalf("%s has rows in two places", id)
			}
		}
	}
}

// check holds at every moment.
func (h *history) check(t *rapid.T) {
	if len(h.faults) > 0 {
		t.Fatal(h.faults[0])
	}
	h.checkRuns(t)
	h.checkAccelerators(t)
	h.checkPlaces(t)
}

// checkRuns compares the runs of each job with what may and what was said to run.
func (h *history) checkRuns(t *rapid.T) {
	for id, spec := range h.specs {
		runs := h.runsOf(id)
		for index, n := range runs {
			if !spec.GetRepeatable() && n > 1 {
				t.Fatalf("%s may not be repeated, but its task %s ran %d times", id, index, n)
			}
		}
		told := h.told[id]
		if told != nil && ended(told.GetState()) && told.GetExecution() == wire.Execution_NOT_RUN && len(runs) > 0 {
			t.Fatalf("%s was said not to have run, but it ran", id)
		}
		row := h.row(id)
		if row != nil && ended(row.GetState()) && row.GetExecution() == wire.Execution_NOT_RUN && len(runs) > 0 {
			t.Fatalf("the row of %s says that it did not run, but it ran", id)
		}
		if row.GetState() == wire.JobState_FINISHED && len(runs) < int(max(1, spec.GetTasks())) {
			t.Fatalf("%s finished, but only %d of its tasks ran", id, len(runs))
		}
	}
}

// checkAccelerators looks for two tasks at once on one accelerator of one VM.
func (h *history) checkAccelerators(t *rapid.T) {
	for _, n := range h.nodes {
		owner := map[int]string{}
		for _, status := range n.worker.List(h.now) {
			if status.State != platform.TaskRunning {
				continue
			}
			for i := status.FirstAccelerator; i < status.FirstAccelerator+status.Accelerators; i++ {
				if owner[i] != "" {
					t.Fatalf("%s: accelerator %d is used by %s and %s", n.vm.Name, i, owner[i], status.Key)
				}
				owner[i] = status.Key
			}
		}
	}
}

// checkEnd lets everything heal and expects every accepted job to end, as whole as it
// can be.
func (h *history) checkEnd(t *rapid.T) {
	h.heal()
	h.lookForMoved()
	h.settle(5 * time.Minute)
	h.lookForMoved()
	h.settle(5 * time.Minute)
	h.check(t)
	for id := range h.accepted {
		row := h.row(id)
		if h.store.Row(movedKey(otherHall, id)).Version > 0 {
			continue
		}
		if row == nil {
			t.Fatalf("%s was accepted but has no row", id)
		}
		if !ended(row.GetState()) {
			record, _ := h.newest().core.Get(h.now, id)
			for _, n := range h.nodes {
				t.Logf("agent: %+v", n.core.State(h.now))
			}
			t.Fatalf("%s has not ended: %s, %s: %+v", id, row.GetState(), record.GetReason(), h.newest().core.State(h.now))
		}
	}
	for _, n := range h.nodes {
		for _, status := range n.worker.List(h.now) {
			job, _, _ := strings.Cut(status.Key, "~")
			if status.State == platform.TaskRunning {
				t.Fatalf("%s still runs although %s has ended", status.Key, job)
			}
		}
	}
}

func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{world: newWorld(4, 4), specs: map[string]*wire.JobSpec{}}
		h.settle(2 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"submit":       h.submitNew,
			"submit again": h.submitAgain,
			"cancel":       h.cancelOne,
			"deliver":      h.deliver,
			"deliver many": h.deliverMany,
			"drop":         h.drop,
			"give up":      h.giveUp,
			"pass":         h.pass,
			"calm":         h.calm,
			"kill agent":   h.killAgent,
			"replace VM":   h.replaceOne,
			"kill holder":  h.killHolder,
			"race holder":  h.raceHolder,
			"cut node":     h.cutNode,
			"pause agent":  h.pauseAgent,
			"pause holder": h.pauseHolder,
			"toggle store": h.toggleStore,
			"move":         h.moveSome,
			"give back":    h.giveBack,
			"":             h.check,
		})
		h.checkEnd(t)
	})
}
