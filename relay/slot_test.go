package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/relaypb"
)

func slotRow(t *testing.T, number int, self Gateway, announced time.Duration) store.Row {
	t.Helper()
	value, err := self.encode(announced)
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Key: slotKey(number), Value: value, Version: uint64(number + 1)}
}

// relayNamed returns a gateway with one CPU.
func relayNamed(name, address string) Gateway {
	return Gateway{Name: name, Address: address, CPUs: 1}
}

func TestRelaysAreThoseWithFreshRows(t *testing.T) {
	is := is.New(t)
	const at = time.Hour
	table := parseSlots(store.Page{
		Stamp: store.Stamp{Clock: at},
		Rows: []store.Row{
			slotRow(t, 0, relayNamed("self", "10.0.0.1:1"), at),
			slotRow(t, 1, relayNamed("fresh", "10.0.0.2:1"), at-staleAfter),
			slotRow(t, 2, relayNamed("stale", "10.0.0.3:1"), at-staleAfter-time.Second),
			{Key: slotKey(3), Value: []byte{0xff}, Version: 4},
			slotRow(t, MaxRelays, relayNamed("beyond", "10.0.0.4:1"), at),
		},
	})
	is.Equal(table.liveRelays("self"), []Gateway{relayNamed("fresh", "10.0.0.2:1")})
	number, ok := table.slotOf("self")
	is.True(ok)
	is.Equal(number, 0)
	is.Equal(table.claimable(relayNamed("new", "10.0.0.5:1")), []int{2, 3, 4, 5, 6, 7})
}

// Guards against treating rows of other writers as gateways, whatever they contain as an address.
func TestMalformedRowsAreNotRelays(t *testing.T) {
	is := is.New(t)
	const at = time.Hour
	table := parseSlots(store.Page{
		Stamp: store.Stamp{Clock: at},
		Rows: []store.Row{
			slotRow(t, 0, relayNamed("empty", ""), at),
			slotRow(t, 1, relayNamed("place", "here"), at),
			slotRow(t, 2, relayNamed("early", "10.0.0.2:1"), -time.Hour),
			{Key: slotKey(3), Value: []byte{0xff, 1}, Version: 1},
			slotRow(t, 4, relayNamed("", "10.0.0.6:1"), at),
			slotRow(t, 5, relayNamed("good", "10.0.0.3:1"), at),
			slotRow(t, 6, relayNamed("port", "10.0.0.7:99999"), at),
			slotRow(t, 7, relayNamed("future", "10.0.0.8:1"), at+2*staleAfter),
		},
	})
	is.Equal(table.liveRelays("self"), []Gateway{relayNamed("good", "10.0.0.3:1")})
	is.Equal(len(table.unreadable), 7)
	is.Equal(table.claimable(relayNamed("new", "10.0.0.9:1")), []int{0, 1, 2, 3, 4, 6, 7}) // none holds its slot
}

// fullTable returns a table in which every slot has a relay with the given CPU capacity.
func fullTable(t *testing.T, cpus float64) slotTable {
	t.Helper()
	page := store.Page{Stamp: store.Stamp{Clock: time.Hour}}
	for number := range MaxRelays {
		relay := Gateway{Name: fmt.Sprint(number), Address: fmt.Sprintf("10.0.0.%d:1", number), CPUs: cpus}
		page.Rows = append(page.Rows, slotRow(t, number, relay, time.Hour))
	}
	return parseSlots(page)
}

func TestTakeoverNeedsTwiceTheCPUs(t *testing.T) {
	is := is.New(t)
	table := fullTable(t, 0.4)
	is.Equal(len(table.claimable(Gateway{Name: "alike", CPUs: 0.7})), 0)
	is.Equal(len(table.claimable(Gateway{Name: "strong", CPUs: 0.8})), 1)
	table.slots[5].relay.CPUs = 0.2
	is.Equal(table.claimable(Gateway{Name: "strong", CPUs: 0.8}), []int{5}) // the relay with the least CPU capacity
}

func TestRelayRowCarriesStoreClock(t *testing.T) {
	is := is.New(t)
	s, direct, _ := newGateway(t)
	_, err := s.updateMembership(context.Background(), relayNamed("self", "10.0.0.1:1"))
	is.NoErr(err)
	is.Equal(len(direct.txns), 1)
	written := direct.txns[0].Writes[0]
	is.Equal(written.Key.Table, Table)
	is.True(written.Key.Part != "") // the operator's rows are in that part
	content := &relaypb.GatewayRow{}
	is.NoErr(proto.Unmarshal(written.Value, content))
	is.Equal(content.GetAddress(), "10.0.0.1:1")
	is.Equal(content.GetAnnouncedMs(), stamp.Clock.Milliseconds())
	is.Equal(direct.txns[0].Checks, []store.Check{{Key: written.Key, Version: 0}}) // prevents two relays in one slot
}

func TestGatewaysThatFailedAreTriedLast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	p := &peers{}
	p.set([]Gateway{{Address: "10.0.0.1:1"}, {Address: "10.0.0.2:1"}, {Address: "10.0.0.3:1"}})
	failed := p.choose(now)[0]
	p.recordFailure(now, failed, true)
	for _, chosen := range p.choose(now.Add(demotionPeriod)) {
		is.True(chosen != failed)
	}
	is.Equal(len(p.choose(now)), maxPeersTried)
	p.set([]Gateway{{Address: failed.address}})
	is.Equal(p.choose(now), []*peer{failed}) // the only peer is used despite its failure
	p.set(nil)
	is.Equal(len(p.choose(now)), 0)
}
