package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// wideAgent and wideInstance are names as long as those of the platform.
const (
	wideAgent    = "sidecar-00.data-centre-north"
	wideInstance = "3f9a1c77d0e24b65"
)

// reportIdleWorker reports a worker of the usual capacity on which nothing runs.
func (c *Core) reportIdleWorker(now time.Time, agent, name string, listing uint64) {
	c.RecordReply(now, agent, Grant{})
	c.Report(now, agent, Report{Incarnation: "agent", Instance: instance.New(name, 1), Listing: listing, Capacity: fullCapacity})
}

// newWideCore returns a pool with one large worker, on which all tasks of a job run, and that job.
func newWideCore(t *testing.T, now time.Time) (*Core, *jobState) {
	t.Helper()
	c := New("pool", DefaultSettings(), nil)
	c.reportIdleWorker(now, wideAgent, wideInstance, 1)
	j := oneTask(1, time.Minute)
	j.Steps[0].Count, j.Steps[0].Shape = 1000, job.Shape{CPUMillis: 50, MemoryMB: 50}
	c.AddJob(now, NewJob{Job: j})
	c.Decide(now)
	c.commitAll(t, now)
	return c, c.jobs[j.ID]
}

// commitAll commits all changes, and returns the rows.
func (c *Core) commitAll(t *testing.T, now time.Time) map[store.Key][]byte {
	t.Helper()
	rows := map[store.Key][]byte{}
	for batch := c.TakeBatch(); batch != nil; batch = c.TakeBatch() {
		for _, w := range batch.Writes {
			if len(w.Value) > maxValueBytes {
				t.Errorf("the value of %v has %d bytes", w.Key, len(w.Value))
			}
			rows[w.Key] = w.Value
		}
		c.BatchCommitted(now)
	}
	return rows
}

// Guards against LOST: a worker crashes under 1,000 tasks of a job. The job's row outgrew a value, the store refused it, and
// with it all rows of the pool and the renewal of the holder's lease.
func TestStateOfAWideJobAfterACrashCanBeWritten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c, j := newWideCore(t, now)
	for _, g := range j.groups {
		for _, m := range g.members {
			m.phase, m.starts.seen = memberRunning, true
		}
	}
	c.Report(now, wideAgent, Report{Incarnation: "agent", Instance: instance.New(wideInstance, 1), Listing: 2, Lapsed: true, Lapse: LapseCrashed})
	c.reportIdleWorker(now, wideAgent, "77d0e24b653f9a1c", 3)
	now = now.Add(5 * time.Second)
	c.RecordReply(now, wideAgent, Grant{})
	c.Decide(now)
	want := j.row()
	is.True(len(Encode(want)) > maxValueBytes)
	value := c.commitAll(t, now)[StateKey("pool", j.job.ID)]
	got, err := decodeState(store.Row{Value: value}, j.job)
	is.NoErr(err)
	is.True(proto.Equal(got, want))
	state, err := StateOf(store.Row{Value: value})
	is.NoErr(err)
	is.Equal(state, Active)
}

// A row that fits is written as earlier releases read it, and a compressed row that is cut off is malformed.
func TestOnlyRowsThatAreTooLongAreCompressed(t *testing.T) {
	is := is.New(t)
	row := &poolpb.StateRow{Layout: rowLayout}
	for i := 0; proto.Size(row) <= maxValueBytes; i++ {
		is.Equal(encodeState(row), Encode(row))
		row.Groups = append(row.Groups, &poolpb.GroupState{First: int32(i), Saved: fmt.Sprintf("%01000d", i)})
	}
	value := encodeState(row)
	is.Equal(value[0], byte(compressedMark))
	is.True(len(value) < maxValueBytes)
	_, err := unmarshalState(value[:len(value)/2])
	is.True(err != nil)
}

// A state that is too large also when compressed ends its job, with the reason, and holds up no other.
func TestStateThatCannotBeWrittenEndsItsJobAlone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c, j := newWideCore(t, now)
	random := rand.New(rand.NewPCG(1, 2))
	for _, g := range j.groups {
		g.resumeFrom = ""
		for range 12 {
			g.resumeFrom += fmt.Sprintf("%x", random.Uint64())
		}
		g.latestSaved = g.resumeFrom
	}
	c.markDirty(j)
	other := oneTask(2, time.Second)
	c.AddJob(now, NewJob{Job: other})
	c.Decide(now)
	rows := c.commitAll(t, now)
	_, written := rows[StateKey("pool", j.job.ID)]
	is.True(!written)
	_, written = rows[StateKey("pool", other.ID)]
	is.True(written)

	var events []Event
	c.observer = func(e Event) { events = append(events, e) }
	c.Tick(now)
	is.Equal(j.state, Failed)
	is.Equal(events[0].Kind, EventJobEnded)
	state, err := StateOf(store.Row{Value: c.commitAll(t, now)[StateKey("pool", j.job.ID)]})
	is.NoErr(err)
	is.Equal(state, Failed)
	is.Equal(j.committedChanges, j.changes)
}
