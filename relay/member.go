package relay

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/relaypb"
)

const (
	// Table has a row for each gateway. They have a part of their own: the store makes the
	// transactions of a part in turn, and the operator's rows have the one without a name.
	Table = "gateway"
	part  = "gateway"

	// announceEvery is how often a gateway renews its row and looks for others once it has
	// run for a while; firstAnnounce is the first pause, and each is twice as long as the one
	// before. With 100 gateways that makes 20 calls a second.
	announceEvery = 10 * time.Second
	firstAnnounce = 1 * time.Second
	// staleAfter is how old a row may be for its gateway to be tried: three renewals.
	staleAfter = 3 * announceEvery
	// removeAfter is how old a row must be to be deleted by whoever finds it.
	removeAfter = 2 * time.Minute
)

// Run makes this gateway known to the others under a name and address, looks for them, and
// tries the store again while it turns this gateway away, until ctx is done.
func (s *Store) Run(ctx context.Context, name, address string) {
	go s.probe(ctx)
	pause := firstAnnounce
	for {
		if err := s.announce(ctx, name, address); err != nil {
			s.logger.Warn().Err(err).Msg("relay: the gateways' rows could not be renewed and read")
		}
		if !backoff.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, announceEvery)
	}
}

// announce reads the rows of all gateways and renews that of this one.
func (s *Store) announce(ctx context.Context, name, address string) error {
	page, err := s.Read(ctx, store.Range{Table: Table, Part: part})
	if err != nil {
		return err
	}
	known := members(page, name)
	if s.peers.set(known.addresses) {
		s.logger.Info().Int("known", len(known.addresses)).Msg("relay: the other gateways changed")
	}
	for _, u := range known.unreadable {
		s.bad.Note(clock.Now(), malformed.Gateway, u.row.Key.Name, len(u.row.Value), u.err)
	}
	value, err := proto.Marshal(&relaypb.GatewayRow{Address: address, AnnouncedMs: page.Stamp.Clock.Milliseconds()})
	if err != nil {
		return &store.Error{Op: "announce", Kind: store.KindInvalid, Err: err}
	}
	writes := []store.Write{{Key: memberKey(name), Value: value}}
	for _, key := range known.gone {
		writes = append(writes, store.Write{Key: key, Delete: true})
	}
	_, err = s.Commit(ctx, store.Txn{Writes: writes})
	return err
}

func memberKey(name string) store.Key {
	return store.Key{Table: Table, Part: part, Name: name}
}

// membership is what the rows of the gateways tell.
type membership struct {
	// addresses are those of the other gateways that live, as far as their rows tell.
	addresses []string
	// gone are the rows of those that have long ended.
	gone []store.Key
	// unreadable are the rows that say nothing of a gateway.
	unreadable []unreadableRow
}

type unreadableRow struct {
	row store.Row
	err error
}

// decodeMember reads the row of a gateway.
func decodeMember(row store.Row, content *relaypb.GatewayRow) error {
	if err := proto.Unmarshal(row.Value, content); err != nil {
		return err
	}
	if content.GetAnnouncedMs() < 0 {
		return fmt.Errorf("it was announced at %d ms", content.GetAnnouncedMs())
	}
	_, _, err := net.SplitHostPort(content.GetAddress())
	return err
}

// maxRemoved bounds the rows that one renewal deletes.
const maxRemoved = 20

// members reads the rows of the gateways other than the named one.
func members(page store.Page, name string) membership {
	var m membership
	for _, row := range page.Rows {
		if row.Key.Name == name {
			continue
		}
		content := &relaypb.GatewayRow{}
		if err := decodeMember(row, content); err != nil {
			m.unreadable = append(m.unreadable, unreadableRow{row, err})
			continue
		}
		age := page.Stamp.Clock - time.Duration(content.GetAnnouncedMs())*time.Millisecond
		switch {
		case age <= staleAfter:
			m.addresses = append(m.addresses, content.GetAddress())
		case age > removeAfter && len(m.gone) < maxRemoved:
			m.gone = append(m.gone, row.Key)
		}
	}
	return m
}
