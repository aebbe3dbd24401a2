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
	// noticeTimeout bounds the call that sends a notice: the holder's feed delivers the row within 0.8 s in
	// any case.
	noticeTimeout = 400 * time.Millisecond
	// maxNotices bounds the notices in flight to a holder; further notices are dropped, and the holder's feed
	// delivers the rows.
	maxNotices = 32
)

// NoticeService accepts notices of rows for the pools that this process hosts. Create it with
// NewNoticeService.
type NoticeService struct {
	find func(poolName string) (*Host, bool)
}

// NewNoticeService returns a service that looks up the host of a pool with a function.
func NewNoticeService(find func(poolName string) (*Host, bool)) *NoticeService {
	return &NoticeService{find: find}
}

// Tell delivers a row to the holder of its pool in this process. If there is none, it forwards the row once, to
// the process that is known to accept notices.
func (s *NoticeService) Tell(request *poolpb.NoticeRequest, reply *poolpb.NoticeReply) error {
	host, known := s.find(request.GetPool())
	if !known {
		return nil
	}
	row := store.Row{
		Key:   store.Key{Table: pool.IntakeTable, Part: request.GetPart(), Name: request.GetName()},
		Value: request.GetValue(),

		Version: request.GetVersion(),
	}
	storeClock := time.Duration(request.GetClockMs()) * time.Millisecond
	reply.Taken = host.deliver(row, storeClock)
	if !reply.GetTaken() && !request.GetForwarded() {
		host.forward(row, storeClock, true)
	}
	return nil
}

// deliver hands a row to the holder in this process. It reports whether there is one.
func (h *Host) deliver(row store.Row, storeClock time.Duration) bool {
	h.mu.Lock()
	pid := h.pid
	h.mu.Unlock()
	if pid == nil {
		return false
	}
	h.deps.System.Root.Send(pid, noticedRow{row: row, storeClock: storeClock})
	return true
}

// Notify notifies the pool's holder of a committed row of the intake table, with a reading of the store's
// clock. It does not wait. A lost notice does no harm, because the holder also follows the table. The store's
// feeds are silent for a second or two when it forgets its history; during that time, new jobs and
// cancellations reach the holder only through notices.
func (h *Host) Notify(row store.Row, storeClock time.Duration) {
	if !h.deliver(row, storeClock) {
		h.forward(row, storeClock, false)
	}
}

// forward sends a notice of a row to the process that is known to accept notices. It drops the notice if there
// is no such process or maxNotices are in flight.
func (h *Host) forward(row store.Row, storeClock time.Duration, forwarded bool) {
	h.mu.Lock()
	client := h.noticeClient
	h.mu.Unlock()
	if client == nil {
		return
	}
	select {
	case h.noticeSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-h.noticeSlots }()
		h.sendNotice(client, row, storeClock, forwarded)
	}()
}

func (h *Host) sendNotice(client *rpc.Client, row store.Row, storeClock time.Duration, forwarded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	_, err := rpc.Call[poolpb.NoticeReply](ctx, client, noticeMethod, &poolpb.NoticeRequest{
		Pool:      h.pool,
		Part:      row.Key.Part,
		Name:      row.Key.Name,
		Value:     row.Value,
		ClockMs:   storeClock.Milliseconds(),
		Forwarded: forwarded,
		Version:   row.Version,
	})
	if err != nil {
		client.Reset()
		h.deps.Logger.Warn().Err(err).Str("pool", h.pool).Str("holder", client.Address()).Str("row", row.Key.Name).Msg("holder: no reply to a notice; the feed will deliver the row")
	}
}

// setNoticeTarget sets the address that accepts notices: that of the pool's holder, or of a process that forwards
// notices to it. An empty address stands for none.
func (h *Host) setNoticeTarget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.noticeClient != nil && h.noticeClient.Address() == address {
		return
	}
	if h.noticeClient != nil {
		_ = h.noticeClient.Close()
		h.noticeClient = nil
	}
	if address != "" && address != h.address {
		h.noticeClient = rpc.NewClient(address, h.deps.Traffic)
	}
}
