package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/relaypb"
)

func memberRow(t *testing.T, name, address string, announced time.Duration) store.Row {
	t.Helper()
	value, err := proto.Marshal(&relaypb.GatewayRow{Address: address, AnnouncedMs: announced.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Key: memberKey(name), Value: value, Version: 1}
}

func TestMembersAreThoseWithFreshRows(t *testing.T) {
	is := is.New(t)
	const at = time.Hour
	page := store.Page{
		Stamp: store.Stamp{Clock: at},
		Rows: []store.Row{
			memberRow(t, "self", "a:1", at),
			memberRow(t, "fresh", "b:1", at-staleAfter),
			memberRow(t, "stale", "c:1", at-staleAfter-time.Second),
			memberRow(t, "gone", "d:1", at-removeAfter-time.Second),
			{Key: memberKey("broken"), Value: []byte{0xff}},
		},
	}
	m := members(page, "self")
	is.Equal(m.addresses, []string{"b:1"})
	is.Equal(m.gone, []store.Key{memberKey("gone")})
}

func TestAnnouncementCarriesTheStoresClock(t *testing.T) {
	is := is.New(t)
	s, direct, _ := newGateway(t)
	is.NoErr(s.announce(context.Background(), "self", "a:1"))
	is.Equal(len(direct.txns), 1)
	written := direct.txns[0].Writes[0]
	is.Equal(written.Key, memberKey("self"))
	is.True(written.Key.Part != "") // where it would stand in the operator's way
	content := &relaypb.GatewayRow{}
	is.NoErr(proto.Unmarshal(written.Value, content))
	is.Equal(content.GetAddress(), "a:1")
	is.Equal(content.GetAnnouncedMs(), stamp.Clock.Milliseconds())
}

func TestGatewaysThatFailedAreTriedLast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	p := &peers{}
	p.set([]string{"a:1", "b:1", "c:1"})
	bad := p.choose(now)[0]
	p.failed(now, bad, true)
	for _, chosen := range p.choose(now.Add(setAside)) {
		is.True(chosen != bad)
	}
	is.Equal(len(p.choose(now)), maxTried)
	p.set([]string{bad.address})
	is.Equal(p.choose(now), []*peer{bad}) // better than none
	p.set(nil)
	is.Equal(len(p.choose(now)), 0)
}

// Rows of other writers were tried as gateways, whatever they held for an address.
func TestRowsWithoutAnAddressAreNoMembers(t *testing.T) {
	is := is.New(t)
	const at = time.Hour
	m := members(store.Page{
		Stamp: store.Stamp{Clock: at},
		Rows: []store.Row{
			memberRow(t, "empty", "", at),
			memberRow(t, "place", "here", at),
			memberRow(t, "early", "b:1", -time.Hour),
			{Key: memberKey("noise"), Value: []byte{0xff, 1}, Version: 1},
			memberRow(t, "good", "c:1", at),
		},
	}, "self")
	is.Equal(m.addresses, []string{"c:1"})
	is.Equal(len(m.gone), 0)
	is.Equal(len(m.unreadable), 4)
}
