package hall

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

// A row without the length of the leases, which an earlier release wrote, isn't taken for one of short leases.
func TestUnknownLengthOfLeasesIsTakenForTheLongest(t *testing.T) {
	is := is.New(t)
	settings := DefaultSettings
	longest := settings.agentLease(1_000_000)
	is.Equal(settings.earlierAgentLease(&wire.HolderLease{Epoch: 3}), longest)
	is.Equal(settings.earlierAgentLease(&wire.HolderLease{Epoch: 3, LongestAgentLeaseMs: 48_000}), 48*time.Second)
	is.Equal(settings.earlierAgentLease(&wire.HolderLease{Epoch: 3, LongestAgentLeaseMs: 1}), settings.AgentLease)
	is.Equal(settings.earlierAgentLease(&wire.HolderLease{}), settings.AgentLease) // The hall never had a holder.
}

// A holder gives longer leases only after the store has recorded their length, and records shorter ones only after the
// leases of earlier holders have ended.
func TestLengthOfLeasesIsRecordedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	settings := DefaultSettings
	core := NewCore(simHall, "holder", 2, settings.AgentLease, settings)
	var vms []platform.VM
	for i := range 400 {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("w%d", i), Hall: simHall})
	}
	core.SetVMs(now, vms)
	core.Restore(now, Snapshot{})
	given := func() time.Duration {
		return time.Duration(core.NextSync(now, "w0").GetLeaseMs()) * time.Millisecond
	}
	is.Equal(given(), settings.AgentLease)
	core.agents["w0"].leased = true
	wait := time.Duration(core.NextSync(now, "w0").GetWaitMs()) * time.Millisecond
	is.True(wait <= settings.AgentLease/syncsPerLease) // The agent's reply arrives before its lease ends.
	is.True(core.NeedsLongerLease())
	lease := core.LeaseToRecord(now)
	core.RecordingLease(lease)
	is.Equal(given(), settings.AgentLease) // The outcome of the transaction is unknown.
	core.LeaseRecorded(lease)
	is.Equal(given(), time.Minute)
	is.True(!core.NeedsLongerLease())

	next := NewCore(simHall, "next", 3, lease, settings)
	next.SetVMs(now, vms[:1])
	next.Restore(now, Snapshot{})
	is.Equal(next.LeaseToRecord(now.Add(time.Hour)), lease) // Earlier holders can't have learned of this one.
	next.HandleSyncReply(now, "w0", next.NextSync(now, "w0"), &wire.SyncReply{})
	bound := settings.withDrift(noticeTime(lease) + lease)
	is.Equal(next.LeaseToRecord(now.Add(bound)), lease)
	is.Equal(next.LeaseToRecord(now.Add(bound+1)), settings.AgentLease)
	next.RecordingLease(settings.AgentLease)
	next.SetVMs(now, vms)
	request := next.NextSync(now, "w0")
	is.Equal(request.GetLeaseMs(), int32(settings.AgentLease.Milliseconds())) // The transaction may be carried out.
}

// directStore is a store whose transactions always get an answer.
type directStore struct {
	store.Store

	rows *fakes.Store
}

func (s directStore) Commit(_ context.Context, txn store.Txn) (store.Stamp, error) {
	version, found, ok := s.rows.Apply(txn)
	if !ok {
		return store.Stamp{}, &store.Error{Kind: store.KindConflict, Rows: found}
	}
	return store.Stamp{Version: version}, nil
}

// The row of a hall's lease tells the length of the agents' leases from the transaction that takes the hall to the one
// that releases it.
func TestRowTellsTheLengthOfLeases(t *testing.T) {
	is := is.New(t)
	rows := fakes.NewStore(time.Unix(1_000_000, 0))
	recorded := func() *wire.HolderLease {
		lease := &wire.HolderLease{}
		is.NoErr(decode(rows.Row(LeaseKey(simHall)), lease))
		return lease
	}
	w, err := Acquire(t.Context(), directStore{rows: rows}, simHall, &wire.HolderLease{}, 0, "holder", "", 20*time.Second)
	is.NoErr(err)
	is.Equal(recorded().GetLongestAgentLeaseMs(), int32(20_000))
	is.NoErr(w.Commit(t.Context(), nil, nil, 48*time.Second))
	is.Equal(recorded().GetLongestAgentLeaseMs(), int32(48_000))
	is.Equal(w.AgentLease(), 48*time.Second)
	is.NoErr(w.Release(t.Context()))
	is.Equal(recorded().GetLongestAgentLeaseMs(), int32(48_000))
	is.True(recorded().GetReleased())
}
