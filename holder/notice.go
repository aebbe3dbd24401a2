package holder

import (
	"context"
	"time"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
	"hollyfork.example/wire/poolpb"
)

const (
	// NoticeServiceName is the name of the NoticeService.
	NoticeServiceName = "Notice"

	noticeMethod = NoticeServiceName + ".Tell"
	// noticeTimeout bounds a notice: the holder's feed brings the row within 0.8 s in any case.
	noticeTimeout = 400 * time.Millisecond
	// maxNotices bounds the notices that are under way to a holder; those beyond are left to its
	// feed.
	maxNotices = 32
)

// NoticeService takes notices of rows for the pools that this process holds. Create it with
// NewNoticeService.
type NoticeService struct {
	find func(poolName string) (*Host, bool)
}

// NewNoticeService returns a service for the hosts that a function finds by their pools' names.
func NewNoticeService(find func(poolName string) (*Host, bool)) *NoticeService {
	return &NoticeService{find: find}
}

// Tell hands a row to the holder of its pool: in this process, or once to the one that this process knows of.
func (s *NoticeService) Tell(request *poolpb.NoticeRequest, reply *poolpb.NoticeReply) error {
	host, known := s.find(request.GetPool())
	if !known {
		return nil
	}
	row := store.Row{
		Key:   store.Key{Table: pool.IntakeTable, Part: request.GetPart(), Name: request.GetName()},
		Value: request.GetValue(),
	}
	clock := time.Duration(request.GetClockMs()) * time.Millisecond
	reply.Taken = host.take(row, clock)
	if !reply.GetTaken() && !request.GetForwarded() {
		host.pass(row, clock, true)
	}
	return nil
}

// take hands a row to the holder in this process. It says whether there is one.
func (h *Host) take(row store.Row, clock time.Duration) bool {
	h.mu.Lock()
	pid := h.pid
	h.mu.Unlock()
	if pid == nil {
		return false
	}
	h.deps.System.Root.Send(pid, arrived{page: store.Page{Rows: []store.Row{row}, Stamp: store.Stamp{Clock: clock}}})
	return true
}

// Notify tells the pool's holder of a row of the intake table that was committed, at a reading
// of the store's clock. It does not wait, and a notice that is lost costs nothing: the holder
// follows the table. While the store's feeds are silent, as they are for a second or two when it
// forgets its history, notices are what brings new jobs and cancellations.
func (h *Host) Notify(row store.Row, clock time.Duration) {
	if !h.take(row, clock) {
		h.pass(row, clock, false)
	}
}

// pass tells the process that is known to hold the pool of a row, or one that knows the holder.
func (h *Host) pass(row store.Row, clock time.Duration, forwarded bool) {
	h.mu.Lock()
	client := h.known
	h.mu.Unlock()
	if client == nil {
		return
	}
	select {
	case h.notices <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-h.notices }()
		h.notify(client, row, clock, forwarded)
	}()
}

func (h *Host) notify(client *rpc.Client, row store.Row, clock time.Duration, forwarded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	_, err := rpc.Call[poolpb.NoticeReply](ctx, client, noticeMethod, &poolpb.NoticeRequest{
		Pool:      h.pool,
		Part:      row.Key.Part,
		Name:      row.Key.Name,
		Value:     row.Value,
		ClockMs:   clock.Milliseconds(),
		Forwarded: forwarded,
	})
	if err != nil {
		client.Reset()
		h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Str("holder", client.Address()).Str("row", row.Key.Name).Msg("holder: a notice was not answered; the feed brings the row")
	}
}

// setKnown notes where notices are taken: by the pool's holder or by a process that knows it; empty for nowhere.
func (h *Host) setKnown(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known != nil && h.known.Address() == address {
		return
	}
	if h.known != nil {
		_ = h.known.Close()
		h.known = nil
	}
	if address != "" && address != h.address {
		h.known = rpc.NewClient(address, h.deps.Traffic)
	}
}
