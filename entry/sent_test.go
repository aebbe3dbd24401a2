package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/wire"
)

// A status that was requested before a job was sent made the entry forget the job, and send further ones to a full hall.
func TestLateStatusDoesNotForgetSentJobs(t *testing.T) {
	is := is.New(t)
	e, _ := newTestEntry(t, 0)
	root := e.deps.System.Root
	asked := time.Now()
	status := &wire.HallStatus{FreeAccelerators: 32}
	root.Send(e.catalog, jobSent{hall: "sapporo", job: sentJob{number: 1, accelerators: 8}})
	root.Send(e.catalog, statusRead{hall: "sapporo", requestedAt: asked, status: status})
	is.Equal(e.View().freeAccelerators("sapporo"), int32(24)) // not answered

	root.Send(e.catalog, jobAnswered{hall: "sapporo", number: 1, at: asked.Add(time.Millisecond)})
	root.Send(e.catalog, statusRead{hall: "sapporo", requestedAt: asked, status: status})
	is.Equal(e.View().freeAccelerators("sapporo"), int32(24)) // answered after the status was requested

	root.Send(e.catalog, statusRead{hall: "sapporo", requestedAt: asked.Add(time.Second), status: status})
	is.Equal(e.View().freeAccelerators("sapporo"), int32(32))
}

// A status that was requested earlier replaced a later one.
func TestEarlierStatusDoesNotReplaceALaterOne(t *testing.T) {
	is := is.New(t)
	e, _ := newTestEntry(t, 0)
	root, asked := e.deps.System.Root, time.Now()
	root.Send(e.catalog, statusRead{hall: "sapporo", requestedAt: asked.Add(time.Second), status: &wire.HallStatus{FreeAccelerators: 32}})
	root.Send(e.catalog, statusRead{hall: "sapporo", requestedAt: asked, status: &wire.HallStatus{}})
	is.Equal(e.View().freeAccelerators("sapporo"), int32(32))
}

// Sent jobs accumulated for a hall that answered submissions and no question for its status.
func TestSentJobsDoNotAccumulate(t *testing.T) {
	is := is.New(t)
	jobs, now := sentJobs{}, time.Now()
	for number := range uint64(100) {
		now = now.Add(time.Second)
		jobs.add(now, "sapporo", sentJob{number: number, accelerators: 8})
		jobs.recordAnswer(now, "sapporo", number)
	}
	is.True(len(jobs["sapporo"]) <= int(maxStatusAge/time.Second)+1)
}
