package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/clock/clocktest"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

const testID = "0123456789abcdef"

// cancelRow and jobRow return the rows of the test's job at a version of the store.
func cancelRow(keys pool.JobKeys, version uint64) store.Row {
	return store.Row{Key: keys.Cancel, Value: pool.Encode(pool.CancelRow("pool", 0)), Version: version}
}

func jobRow(keys pool.JobKeys, version uint64) store.Row {
	return store.Row{Key: keys.Job, Value: pool.Encode(pool.JobRow("pool", testJob(testID), 0)), Version: version}
}

// Guards against LOST: a notice of a cancellation from before the job was accepted came late, from a process that was
// paused after its write.
func TestLateNoticeOfAnEarlierCancellationEndsNoJob(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(t, 0)
	keys := pool.KeysOf(testID)
	now := time.Now()
	accepted := jobRow(keys, 9)
	accepted.Value = pool.Encode(pool.JobRow("pool", testJob(testID), pool.WithdrawalAge))
	h.handleIntake(now, store.Page{Rows: []store.Row{accepted}})
	h.handleNotice(now, noticedRow{row: cancelRow(keys, 5)})
	h.handleNotice(now, noticedRow{row: cancelRow(keys, 0)}) // of a gateway of an earlier release
	is.Equal(h.core.Snapshot(now).Jobs, map[string]int{"queued": 1})
	h.handleNotice(now, noticedRow{row: cancelRow(keys, 10)})
	is.Equal(h.core.Snapshot(now).Jobs, map[string]int{"cancelled": 1})
}

// Guards against UNASKED in a change of releases: notices of earlier releases have no version, and the feed may be silent.
func TestNoticeWithoutAVersionCancelsAJobThatWasAcceptedBefore(t *testing.T) {
	keys := pool.KeysOf(testID)
	for _, versions := range [][2]uint64{{0, 0}, {9, 0}, {0, 10}} {
		is := is.New(t)
		h := newTestHolder(t, 0)
		now := time.Now()
		h.handleNotice(now, noticedRow{row: jobRow(keys, versions[0])})
		h.handleNotice(now, noticedRow{row: cancelRow(keys, versions[1])})
		is.Equal(h.core.Snapshot(now).Jobs, map[string]int{"cancelled": 1})
	}
}

// The feed tells of a cancellation that was deleted before a gateway of an earlier release accepted the job. A notice of
// that job may be ahead of it.
func TestDeletedCancellationEndsNoJobOfAnEarlierRelease(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(t, 0)
	keys := pool.LegacyKeysOf("pool", testID)
	row := pool.JobRow("pool", testJob(testID), 0)
	row.Pool = ""
	accepted := store.Row{Key: keys.Job, Value: pool.Encode(row), Version: 9}
	now := time.Now()
	h.handleIntake(now, store.Page{Rows: []store.Row{cancelRow(keys, 5)}})
	h.handleNotice(now, noticedRow{row: accepted})
	is.Equal(len(h.core.Snapshot(now).Jobs), 0)
	h.handleIntake(now, store.Page{Rows: []store.Row{{Key: keys.Cancel, Version: 8, Deleted: true}, accepted}})
	is.Equal(h.core.Snapshot(now).Jobs, map[string]int{"queued": 1})
}

// Without the version of its row, a notice of a cancellation would be left to the feed.
func TestNoticesCarryTheVersionOfTheRow(t *testing.T) {
	is := is.New(t)
	host, notices := newNoticeSender(t)
	host.Notify(jobRow(pool.KeysOf(testID), 7), 0)
	is.Equal((<-notices).GetVersion(), uint64(7))

	service := NewNoticeService(func(string) (*Host, bool) { return host, true })
	is.NoErr(service.Tell(&poolpb.NoticeRequest{Pool: "pool", Name: "job/1/spec", Version: 8}, &poolpb.NoticeReply{}))
	is.Equal((<-notices).GetVersion(), uint64(8))
}

// forgetfulStore has forgotten the changes of its empty tables.
type forgetfulStore struct {
	store.Store
}

func (forgetfulStore) Read(context.Context, store.Range) (store.Page, error) {
	return store.Page{Stamp: store.Stamp{Version: 9}}, nil
}

func (forgetfulStore) Follow(ctx context.Context, _ string, after uint64, _ time.Duration) (store.Page, error) {
	if after < 9 {
		return store.Page{}, &store.Error{Op: "follow", Kind: store.KindHistoryGone}
	}
	<-ctx.Done()
	return store.Page{}, ctx.Err()
}

// When the store has forgotten the deletion of a cancellation, the holder learns of it from a read of all rows.
func TestForgottenDeletionOfACancellationEndsNoJob(t *testing.T) {
	is := is.New(t)
	h, _ := newSlowHolder(t, clocktest.Stopped(time.Unix(1000, 0)))
	h.host.deps.Store = forgetfulStore{}
	keys := pool.LegacyKeysOf("pool", testID)
	h.send(intakeRows{page: store.Page{Rows: []store.Row{cancelRow(keys, 5)}}})
	go h.followIntake()
	time.Sleep(50 * time.Millisecond) // the table is read
	row := pool.JobRow("pool", testJob(testID), 0)
	row.Pool = ""
	h.send(intakeRows{page: store.Page{Rows: []store.Row{{Key: keys.Job, Value: pool.Encode(row), Version: 10}}}})
	snapshot, err := mailbox.Call[snapshotRequest, pool.Snapshot](h.root, h.self, snapshotRequest{}, time.Minute)
	is.NoErr(err)
	is.Equal(snapshot.Jobs, map[string]int{"queued": 1})
}
