package hall

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

const (
	scanPageSize = 500
	// endedWindow is the number of latest positions in the change stream for which a new holder reads the
	// ended jobs.
	endedWindow = 20000
)

var errRenewal = errors.New("lease renewal failed while the hall's jobs were being read")

// Host waits until a hall is free, runs its holder, and waits again after losing the hall. Create it with
// NewHost and call Run.
type Host struct {
	hall     string
	name     string
	address  string
	deps     Deps
	settings Settings
	// pollInterval returns the time until the next check whether the hall is free.
	pollInterval func() time.Duration
	// onEpoch is called with each epoch read from the store.
	onEpoch func(epoch uint64)

	mu     sync.Mutex
	holder *actor.PID
	lease  *wire.HolderLease
}

// NewHost returns a Host for a hall. The name and address identify this process. The function pollInterval
// returns the time until the next check whether the hall is free; onEpoch is called with each epoch read
// from the store.
func NewHost(hall, name, address string, deps Deps, settings Settings, pollInterval func() time.Duration, onEpoch func(epoch uint64)) *Host {
	return &Host{
		hall:         hall,
		name:         name,
		address:      address,
		deps:         deps,
		settings:     settings,
		pollInterval: pollInterval,
		onEpoch:      onEpoch,
	}
}

// Run hosts the hall until ctx is cancelled. It then commits the pending changes and releases the lease, so
// that another process can take the hall immediately.
func (h *Host) Run(ctx context.Context) {
	candidate := &Candidate{TTL: h.settings.HolderLease}
	for ctx.Err() == nil {
		writer := h.tryAcquire(ctx, candidate)
		if writer != nil {
			h.runHolder(ctx, writer)
			candidate = &Candidate{TTL: h.settings.HolderLease}
			continue
		}
		backoff.Sleep(ctx, h.pollInterval())
	}
}

// tryAcquire reads the lease once and acquires it if it is free. It returns nil if it did not acquire the
// lease.
func (h *Host) tryAcquire(ctx context.Context, candidate *Candidate) *FencedWriter {
	lease, version, err := ReadLease(ctx, h.deps.Store, h.hall)
	if err != nil {
		candidate.ReadFailed()
		return nil
	}
	h.setLease(lease)
	h.onEpoch(lease.GetEpoch())
	if candidate.Observe(clock.Now(), lease, version) == Wait {
		return nil
	}
	writer, err := Acquire(ctx, h.deps.Store, h.hall, lease, version, h.name, h.address, h.settings.earlierAgentLease(lease))
	if err != nil {
		return nil
	}
	h.deps.Logger.Info().Uint64("epoch", writer.Epoch()).Str("hall", h.hall).Msg("hall: this process holds the hall")
	return writer
}

// runHolder runs a holder until it loses the hall or ctx is cancelled.
func (h *Host) runHolder(ctx context.Context, writer *FencedWriter) {
	core, err := h.load(ctx, writer)
	if err != nil {
		h.deps.Logger.Warn().Err(err).Msg("hall: failed to load the hall's state")
		h.release(writer)
		return
	}
	holder := h.newHolder(core, writer)
	lease := writer.lease
	pid := h.deps.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return holder }))
	h.setHolder(pid, lease)
	defer h.setHolder(nil, nil)
	select {
	case <-holder.abandoned:
		h.stopHolder(pid)
	case <-ctx.Done():
		h.handOver(pid, writer)
	}
}

func (h *Host) newHolder(core *Core, writer *FencedWriter) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	holder := &Holder{
		deps:      h.deps,
		settings:  h.settings,
		core:      core,
		writer:    writer,
		ctx:       ctx,
		cancel:    cancel,
		abandoned: make(chan struct{}),
		links:     map[string]*agentLink{},
	}
	holder.configVersion.Store(core.Configuration().GetVersion())
	return holder
}

// handOver commits the pending changes, stops the holder and releases the lease.
func (h *Host) handOver(pid *actor.PID, writer *FencedWriter) {
	if _, err := askHolder[stopRequest, stopRequest](h, pid, stopRequest{}, handoverTimeout); err != nil {
		h.deps.Logger.Warn().Err(err).Msg("hall: stopping before all changes were committed")
		h.stopHolder(pid)
		return
	}
	h.stopHolder(pid)
	h.release(writer)
}

func (h *Host) stopHolder(pid *actor.PID) {
	_ = h.deps.System.Root.StopFuture(pid).Wait()
}

func (h *Host) release(writer *FencedWriter) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := writer.Release(ctx); err != nil {
		h.deps.Logger.Warn().Err(err).Msg("hall: failed to release the lease; it will lapse")
		return
	}
	h.deps.Logger.Info().Str("hall", h.hall).Msg("hall: released the hall's lease")
}

func (h *Host) setHolder(pid *actor.PID, lease *wire.HolderLease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder = pid
	if lease != nil {
		h.lease = lease
	}
}

func (h *Host) setLease(lease *wire.HolderLease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = lease
}

// current returns the holder's actor, or nil if this process does not hold the hall, and the lease as last
// read.
func (h *Host) current() (*actor.PID, *wire.HolderLease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder, h.lease
}

// load reads the hall's state from the store and the platform.
func (h *Host) load(ctx context.Context, writer *FencedWriter) (*Core, error) {
	vms, err := h.listVMs(ctx)
	if err != nil {
		return nil, err
	}
	config, _, err := ReadConfig(ctx, h.deps.Store)
	if err != nil {
		return nil, err
	}
	snapshot, err := h.readSnapshot(ctx, writer)
	if err != nil {
		return nil, err
	}
	now := clock.Now()
	core := NewCore(h.hall, h.name, writer.Epoch(), writer.AgentLease(), h.settings)
	core.SetConfiguration(config)
	core.SetVMs(now, vms)
	core.Restore(now, snapshot)
	return core, nil
}

func (h *Host) listVMs(ctx context.Context) ([]platform.VM, error) {
	vms, err := h.deps.VMs.List(ctx, h.hall)
	if err != nil {
		return nil, &Error{Op: "list VMs", Kind: KindStore, Err: err}
	}
	return vms, nil
}

func (h *Host) readSnapshot(ctx context.Context, writer *FencedWriter) (Snapshot, error) {
	snapshot := Snapshot{Position: writer.NextPosition() - 1}
	if snapshot.Position > endedWindow {
		snapshot.EndedAfter = snapshot.Position - endedWindow
	}
	var err error
	snapshot.Live, err = h.scanJobs(ctx, writer, prefixRange(livePrefix(h.hall)))
	if err != nil {
		return Snapshot{}, err
	}
	since := prefixRange(endedPrefix(h.hall))
	since.From = endedKey(h.hall, snapshot.EndedAfter+1, "").Name
	snapshot.Ended, err = h.scanJobs(ctx, writer, since)
	return snapshot, err
}

// scanJobs reads all jobs in a range, page by page. It renews the lease while it reads.
func (h *Host) scanJobs(ctx context.Context, writer *FencedWriter, rows store.Range) ([]*wire.StoredJob, error) {
	rows.Limit = scanPageSize
	var jobs []*wire.StoredJob
	renewedAt := clock.Now()
	for {
		page, err := h.deps.Store.Read(ctx, rows)
		if err != nil {
			return nil, &Error{Op: "read jobs", Kind: KindStore, Err: err}
		}
		for _, row := range page.Rows {
			stored := &wire.StoredJob{}
			if err := decode(row, stored); err != nil {
				return nil, err
			}
			jobs = append(jobs, stored)
			rows.From = store.NextName(row.Key.Name)
		}
		if len(page.Rows) < scanPageSize {
			return jobs, nil
		}
		if clock.Since(renewedAt) > h.settings.HolderLease/renewalsPerLease {
			renewedAt = clock.Now()
			if err := writer.Commit(ctx, nil, nil, writer.AgentLease()); err != nil {
				return nil, errors.Join(errRenewal, err)
			}
		}
	}
}
