package relay

import (
	"context"
	"errors"
	"time"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/relaypb"
)

// Methods that gateways call on one another.
const (
	// ServiceName is the net/rpc name of the service.
	ServiceName = "Relay"

	commitMethod = ServiceName + ".Commit"
	readMethod   = ServiceName + ".Read"
	followMethod = ServiceName + ".Follow"

	watchMethod   = ServiceName + ".Watch"
	membersMethod = ServiceName + ".Members"
	recentMethod  = ServiceName + ".Recent"
)

// maxChangeWait bounds how long a request for changes waits here.
const maxChangeWait = 2 * time.Second

var (
	errStoreUnavailable = errors.New("this gateway is turned away as well")
	errNotRelay         = errors.New("this gateway is no relay")
)

// Service forwards calls of other gateways to the store, but never to a third gateway.
type Service struct {
	store *Store
}

// Service returns the net/rpc service for other gateways.
func (s *Store) Service() *Service {
	return &Service{store: s}
}

// Commit commits a transaction to the store.
func (s *Service) Commit(request *relaypb.CommitRequest, reply *relaypb.Outcome) error {
	return s.forward(opCommit, commitTimeout, reply, func(ctx context.Context) (store.Page, error) {
		stamp, err := s.store.direct.Commit(ctx, txnFromProto(request))
		return store.Page{Stamp: stamp}, err
	})
}

// Read reads rows from the store.
func (s *Service) Read(request *relaypb.ReadRequest, reply *relaypb.Outcome) error {
	return s.forward(opRead, commitTimeout, reply, func(ctx context.Context) (store.Page, error) {
		return s.store.direct.Read(ctx, rangeFromProto(request))
	})
}

// Follow waits for changes in the store.
func (s *Service) Follow(request *relaypb.FollowRequest, reply *relaypb.Outcome) error {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxChangeWait)
	return s.forward(opFollow, wait+commitTimeout, reply, func(ctx context.Context) (store.Page, error) {
		return s.store.direct.Follow(ctx, request.GetTable(), request.GetAfter(), wait)
	})
}

// Watch returns the changes in the table that this gateway's feed reads. It fails if this gateway is not a
// relay.
func (s *Service) Watch(request *relaypb.WatchRequest, reply *relaypb.Outcome) error {
	feed := s.store.feed
	if !feed.IsRelay() || request.GetTable() != feed.table {
		fillOutcome(reply, store.Page{}, &store.Error{Op: opWatch, Kind: store.KindRefused, Err: errNotRelay})
		return nil
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxChangeWait)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	page, err := feed.mirror.watch(ctx, s.store.clock.Now, request.GetAfter(), request.GetAway())
	fillOutcome(reply, page, err)
	return nil
}

// Recent returns a recent copy of a row. It fails if this gateway is not a relay.
func (s *Service) Recent(request *relaypb.RecentRequest, reply *relaypb.Outcome) error {
	if !s.store.feed.IsRelay() {
		fillOutcome(reply, store.Page{}, &store.Error{Op: opRecent, Kind: store.KindRefused, Err: errNotRelay})
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	row, err := s.store.cache.get(ctx, keyFromProto(request.GetKey()), time.Duration(request.GetMaxAgeMs())*time.Millisecond)
	fillOutcome(reply, store.Page{Rows: []store.Row{row}}, err)
	return nil
}

// Members returns the slot rows that this gateway read last. It fails if this gateway is not a relay.
func (s *Service) Members(_ *relaypb.MembersRequest, reply *relaypb.Outcome) error {
	page := s.store.lastSlotPage.Load()
	if page == nil || !s.store.feed.IsRelay() {
		fillOutcome(reply, store.Page{}, &store.Error{Op: opMembers, Kind: store.KindRefused, Err: errNotRelay})
		return nil
	}
	fillOutcome(reply, *page, nil)
	return nil
}

// forward makes a call to the store unless the store is known to be unavailable to this gateway too.
func (s *Service) forward(op string, timeout time.Duration, reply *relaypb.Outcome, call func(context.Context) (store.Page, error)) error {
	if !s.store.route.storeAvailable() {
		fillOutcome(reply, store.Page{}, &store.Error{Op: op, Kind: store.KindRefused, Err: errStoreUnavailable})
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	page, err := call(ctx)
	s.store.recordDirect(ctx, err)
	fillOutcome(reply, page, err)
	return nil
}
