package holder

import (
	"time"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/wire/poolpb"
)

var (
	endKinds = map[poolpb.EndKind_Value]pool.EndKind{
		poolpb.EndKind_DONE:    pool.EndDone,
		poolpb.EndKind_FAILED:  pool.EndFailed,
		poolpb.EndKind_STOPPED: pool.EndStopped,
		poolpb.EndKind_LAPSED:  pool.EndLapsed,
		poolpb.EndKind_BROKEN:  pool.EndGangBroken,
		poolpb.EndKind_ALONE:   pool.EndGangIncomplete,
	}

	lapses = map[poolpb.Lapse_Value]pool.Lapse{
		poolpb.Lapse_UNKNOWN: pool.LapseUnknown,
		poolpb.Lapse_CRASHED: pool.LapseCrashed,
		poolpb.Lapse_LEFT:    pool.LapseLeft,
		poolpb.Lapse_SILENT:  pool.LapseSilent,
	}

	results = map[poolpb.OrderResult_Value]pool.Result{
		poolpb.OrderResult_UNSETTLED:      pool.ResultUnknown,
		poolpb.OrderResult_OK:             pool.ResultOK,
		poolpb.OrderResult_ROOM:           pool.ResultNoCapacity,
		poolpb.OrderResult_OLD_RUN:        pool.ResultOldRun,
		poolpb.OrderResult_LATE:           pool.ResultLate,
		poolpb.OrderResult_FENCED:         pool.ResultFenced,
		poolpb.OrderResult_OTHER_INSTANCE: pool.ResultOtherInstance,
		poolpb.OrderResult_REFUSED:        pool.ResultRefused,
		poolpb.OrderResult_DRAINING:       pool.ResultDraining,
		poolpb.OrderResult_INVALID:        pool.ResultInvalid,
		poolpb.OrderResult_TICKET:         pool.ResultTicketRejected,
	}
)

// reportFrom converts an agent's report of its worker.
func reportFrom(incarnation string, w *poolpb.WorkerState) pool.Report {
	report := pool.Report{
		Incarnation: incarnation,
		Instance:    instance.Parse(w.GetInstance()),
		Draining:    w.GetDraining(),
		Remaining:   time.Duration(w.GetRemainingMs()) * time.Millisecond,
		NotReady:    w.GetNotReady(),
		Capacity: job.Shape{
			CPUMillis:    int(w.GetCpuMillis()),
			MemoryMB:     int(w.GetMemoryMb()),
			Accelerators: int(w.GetAccelerators()),
		},
		Labels:  w.GetLabels(),
		Rack:    w.GetRack(),
		Listing: w.GetListing(),
		Lapsed:  w.GetLapsed(),
		Lapse:   lapses[w.GetLapse()],

		DataCentre: w.GetDataCentre(),
	}
	for _, r := range w.GetRunning() {
		if task, ok := job.ParseTaskID(r.GetTask()); ok {
			report.Running = append(report.Running, pool.Running{
				Task:    task,
				Run:     int(r.GetRun()),
				Saved:   r.GetSaved(),
				Percent: int(r.GetPercent()),
			})
		}
	}
	for _, e := range w.GetEnded() {
		task, _ := job.ParseTaskID(e.GetTask())
		report.Ended = append(report.Ended, pool.Ended{
			Number: e.GetNumber(),
			Task:   task,
			Run:    int(e.GetRun()),
			Kind:   endKinds[e.GetKind()],
			Saved:  e.GetSaved(),
		})
	}
	return report
}

// grantFrom converts the reading of an agent's clock in a reply.
func grantFrom(reply *poolpb.SyncReply) pool.Grant {
	return pool.Grant{Incarnation: reply.GetIncarnation(), Reading: time.Duration(reply.GetLeaseToken())}
}

func orderRequest(epoch uint64, orders pool.Orders) *poolpb.OrderRequest {
	request := &poolpb.OrderRequest{
		Epoch:       epoch,
		Instance:    orders.Instance.String(),
		Incarnation: orders.Grant.Incarnation,
		LeaseToken:  int64(orders.Grant.Reading),
		LeaseMs:     int32(orders.StartsFor.Milliseconds()),
		Capacity: &poolpb.Capacity{
			CpuMillis:    int32(orders.Capacity.CPUMillis),
			MemoryMb:     int32(orders.Capacity.MemoryMB),
			Accelerators: int32(orders.Capacity.Accelerators),
		},
	}
	for _, s := range orders.Starts {
		request.Starts = append(request.Starts, &poolpb.StartOrder{
			Task:  s.Task.String(),
			Run:   int32(s.Run),
			Spec:  s.Spec,
			Saved: s.Saved,

			Ticket: s.Ticket,
		})
	}
	for _, s := range orders.Stops {
		request.Stops = append(request.Stops, &poolpb.StopOrder{Task: s.Task.String(), Run: int32(s.Run)})
	}
	return request
}

func resultsFrom(reply *poolpb.OrderReply) pool.Results {
	return pool.Results{
		Incarnation: reply.GetIncarnation(),
		Listing:     reply.GetListing(),
		Starts:      resultList(reply.GetStarts()),
		Stops:       resultList(reply.GetStops()),
	}
}

func resultList(values []poolpb.OrderResult_Value) []pool.Result {
	list := make([]pool.Result, len(values))
	for i, v := range values {
		list[i] = results[v]
	}
	return list
}
