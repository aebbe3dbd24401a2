package relay

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/relaypb"
)

const (
	// Table holds one row per slot. The rows have their own part because the store commits the transactions
	// of a part one after the other; the operator's rows are in the part with the empty name.
	Table = "gateway"
	part  = "gateway"
	// slotPrefix starts the name of each row. The slot's number follows.
	slotPrefix = "relay/"

	// MaxRelays is the number of slots. One relay is enough to serve a fleet. The others cover the case
	// that some fail, are cut off or cannot reach the store at the same time.
	MaxRelays = 8
	// staleAfter is the age from which a row's slot is free: three missed renewals.
	staleAfter = 3 * renewInterval
	// takeoverRatio is the minimum ratio of a gateway's CPU capacity to that of a relay whose slot it
	// takes.
	takeoverRatio = 2
)

type (
	// Gateway describes a gateway to the other gateways.
	Gateway struct {
		Name string
		// Address is the address at which the gateway serves other gateways.
		Address string
		// CPUs is the gateway's CPU capacity, in CPUs.
		CPUs float64
	}

	// slot is the decoded row of a slot.
	slot struct {
		version uint64
		relay   Gateway
		// fresh reports whether the row was renewed within staleAfter, so that the relay may be alive.
		fresh bool
	}

	// slotTable holds all slots as of one read.
	slotTable struct {
		stamp store.Stamp
		slots [MaxRelays]slot
		// unreadable holds the rows that could not be decoded.
		unreadable []unreadableRow
	}

	unreadableRow struct {
		row store.Row
		err error
	}
)

var errNoPort = errors.New("its address has no port")

func slotKey(number int) store.Key {
	return store.Key{Table: Table, Part: part, Name: slotPrefix + strconv.Itoa(number)}
}

// slotsRange returns the range of the rows of all slots.
func slotsRange() store.Range {
	return store.Range{Table: Table, Part: part, From: slotPrefix, To: slotPrefix + "~"}
}

// parseSlots decodes the rows of a page. Rows that are not slots are ignored.
func parseSlots(page store.Page) slotTable {
	t := slotTable{stamp: page.Stamp}
	for _, row := range page.Rows {
		number, err := strconv.Atoi(strings.TrimPrefix(row.Key.Name, slotPrefix))
		if err != nil || number < 0 || number >= MaxRelays || row.Key != slotKey(number) {
			continue
		}
		t.slots[number].version = row.Version
		content, err := decodeSlot(row, page.Stamp.Clock)
		if err != nil {
			t.unreadable = append(t.unreadable, unreadableRow{row, err})
			continue
		}
		t.slots[number].relay = Gateway{
			Name:    content.GetName(),
			Address: content.GetAddress(),
			CPUs:    float64(content.GetPowerMillis()) / millisPerCPU,
		}
		age := page.Stamp.Clock - time.Duration(content.GetAnnouncedMs())*time.Millisecond
		t.slots[number].fresh = age <= staleAfter
	}
	return t
}

const millisPerCPU = 1000

// decodeSlot decodes and validates the row of a slot, which was read at the given reading of the store's clock. A row from
// the future would never be stale.
func decodeSlot(row store.Row, clock time.Duration) (*relaypb.GatewayRow, error) {
	content := &relaypb.GatewayRow{}
	if err := proto.Unmarshal(row.Value, content); err != nil {
		return nil, err
	}
	if content.GetAnnouncedMs() < 0 || content.GetAnnouncedMs() > (clock+staleAfter).Milliseconds() || content.GetName() == "" || content.GetPowerMillis() < 0 {
		return nil, fmt.Errorf("announced at %d ms by %q with power %d", content.GetAnnouncedMs(), content.GetName(), content.GetPowerMillis())
	}
	address, err := netip.ParseAddrPort(content.GetAddress())
	if err == nil && address.Port() == 0 {
		err = errNoPort
	}
	return content, err
}

// encode returns the value of the gateway's row, written at the given reading of the store's clock.
func (g Gateway) encode(clock time.Duration) ([]byte, error) {
	return proto.Marshal(&relaypb.GatewayRow{
		Name:        g.Name,
		Address:     g.Address,
		PowerMillis: int32(g.CPUs * millisPerCPU),
		AnnouncedMs: clock.Milliseconds(),
	})
}

// slotOf returns the number of the slot that a gateway holds. ok is false if it holds none.
func (t slotTable) slotOf(name string) (number int, ok bool) {
	for number, s := range t.slots {
		if s.relay.Name == name {
			return number, true
		}
	}
	return 0, false
}

// liveRelays returns the relays with fresh rows, except the named gateway.
func (t slotTable) liveRelays(except string) []Gateway {
	var relays []Gateway
	for _, s := range t.slots {
		if s.fresh && s.relay.Name != except {
			relays = append(relays, s.relay)
		}
	}
	return relays
}

// claimable returns the slots that a gateway may take: the free slots or, if there are none, the slot of
// the relay with the least CPU capacity, if takeoverRatio allows it.
func (t slotTable) claimable(self Gateway) []int {
	var free []int
	weakest := -1
	for number, s := range t.slots {
		if !s.fresh {
			free = append(free, number)
			continue
		}
		if weakest < 0 || s.relay.CPUs < t.slots[weakest].relay.CPUs {
			weakest = number
		}
	}
	if len(free) == 0 && takeoverRatio*t.slots[weakest].relay.CPUs <= self.CPUs {
		return []int{weakest}
	}
	return free
}
