package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/wire/poolpb"
)

func TestOrdersCarryEverything(t *testing.T) {
	is := is.New(t)
	task := job.TaskID{Job: "0123456789abcdef", Round: 1, Step: 2, Index: 3}
	request := orderRequest(7, pool.Orders{
		Instance:  instance.New("i-1", 5),
		StartsFor: 4500 * time.Millisecond,
		Grant:     pool.Grant{Incarnation: "agent", Reading: 30 * time.Second},
		Starts:    []pool.Start{{Task: task, Run: 4, Spec: "spec", Saved: "saved", Ticket: "ticket"}},
		Stops:     []pool.Stop{{Task: task, Run: 3}},
	})
	start, stop := request.GetStarts()[0], request.GetStops()[0]
	is.Equal(request.GetEpoch(), uint64(7))
	is.Equal(request.GetInstance(), "i-1@5")
	is.Equal(request.GetIncarnation(), "agent")
	is.Equal(time.Duration(request.GetLeaseToken()), 30*time.Second)
	is.Equal(request.GetLeaseMs(), int32(4500))
	is.Equal([]string{start.GetTask(), start.GetSpec(), start.GetSaved(), start.GetTicket()}, []string{"0123456789abcdef.1.2.3", "spec", "saved", "ticket"})
	is.Equal([]int32{start.GetRun(), stop.GetRun()}, []int32{4, 3})
	is.Equal(stop.GetTask(), start.GetTask())
}

// A result without a translation would count as an order with an unknown outcome.
func TestEachResultAndEndIsTranslated(t *testing.T) {
	is := is.New(t)
	seen := map[pool.Result]bool{}
	for number, name := range poolpb.OrderResult_Value_name {
		result, known := results[poolpb.OrderResult_Value(number)]
		if !known || seen[result] {
			t.Errorf("%s has no translation of its own", name)
		}
		seen[result] = true
	}
	for number, name := range poolpb.EndKind_Value_name {
		if _, known := endKinds[poolpb.EndKind_Value(number)]; !known && number != int32(poolpb.EndKind_UNKNOWN) {
			t.Errorf("%s has no translation", name)
		}
	}
	is.Equal(len(seen), len(poolpb.OrderResult_Value_name))
}

// A field of a worker's state that is not translated would be missing in all decisions.
func TestStateCarriesEverything(t *testing.T) {
	is := is.New(t)
	is.Equal(reportFrom("agent", &poolpb.WorkerState{
		Instance: "i-1@5", Draining: true, NotReady: true, CpuMillis: 1, MemoryMb: 2, Accelerators: 3, Labels: []string{"a"},
		Rack: "r1", DataCentre: "hall", Listing: 4, Lapsed: true, Lapse: poolpb.Lapse_LEFT,
		Running: []*poolpb.RunningTask{{Task: "0123456789abcdef.1.2.3", Run: 5, Saved: "saved", Percent: 6}},
		Ended:   []*poolpb.EndedTask{{Number: 7, Task: "0123456789abcdef.1.2.4", Run: 8, Kind: poolpb.EndKind_DONE, Saved: "more"}},
	}), pool.Report{
		Incarnation: "agent", Instance: instance.New("i-1", 5), Draining: true, NotReady: true,
		Capacity: job.Shape{CPUMillis: 1, MemoryMB: 2, Accelerators: 3}, Labels: []string{"a"}, Rack: "r1", DataCentre: "hall",
		Listing: 4, Lapsed: true, Lapse: pool.LapseLeft,
		Running: []pool.Running{{Task: job.TaskID{Job: "0123456789abcdef", Round: 1, Step: 2, Index: 3}, Run: 5, Saved: "saved", Percent: 6}},
		Ended:   []pool.Ended{{Number: 7, Task: job.TaskID{Job: "0123456789abcdef", Round: 1, Step: 2, Index: 4}, Run: 8, Kind: pool.EndDone, Saved: "more"}},
	})
}

// Without the name of the agent that answered, the next incarnation's answer would count as the known one's.
func TestAnswersCarryEverything(t *testing.T) {
	is := is.New(t)
	is.Equal(resultsFrom(&poolpb.OrderReply{
		Incarnation: "agent", Listing: 4,
		Starts: []poolpb.OrderResult_Value{poolpb.OrderResult_ROOM}, Stops: []poolpb.OrderResult_Value{poolpb.OrderResult_OK},
	}), pool.Results{Incarnation: "agent", Listing: 4, Starts: []pool.Result{pool.ResultNoCapacity}, Stops: []pool.Result{pool.ResultOK}})
}
