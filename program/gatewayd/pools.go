package gatewayd

import (
	"context"
	"maps"
	"slices"
	"time"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/holder"
	"hollyfork.example/hollyfork/platform/adapter"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process/actors"
	"hollyfork.example/hollyfork/store"
)

// hostPools runs a host for each pool of the active configuration, until ctx is done.
func (p *gatewayProcess) hostPools(ctx context.Context) {
	deps := holder.Deps{
		Clock:   clock.System{},
		System:  actors.NewSystem(p.logger),
		Store:   p.store,
		Metrics: p.metrics,
		Traffic: p.traffic,
		Logger:  p.logger,

		Malformed: p.malformed,
		Catalog:   p.follower.Catalog,

		Evacuations: p.follower.Evacuations,
	}
	if *p.options.adviceAddress != "" {
		deps.Advisor = adapter.NewAdviceClient(*p.options.adviceAddress)
	}
	if p.relay != nil {
		deps.TakeoverDelay = p.takeoverDelay
		deps.Standby = p.relay.Feed().Standby
	}
	p.running.Go(func() {
		for ctx.Err() == nil {
			changed := p.follower.Changed()
			for _, name := range p.follower.Catalog().Pools {
				p.hostPool(ctx, name, deps)
			}
			select {
			case <-ctx.Done():
			case <-changed:
			}
		}
	})
}

// hostPool runs a host for a pool unless one is running already.
func (p *gatewayProcess) hostPool(ctx context.Context, name string, deps holder.Deps) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, hosted := p.hosts[name]; hosted {
		return
	}
	poolSettings := pool.DefaultSettings()
	poolSettings.EvacuateWithin = *p.options.evacuateWithin
	poolSettings.Scheduling = p.options.scheduling.value()
	host := holder.New(name, *p.options.name, p.advertisedAddress(), poolSettings, deps)
	p.hosts[name] = host
	p.running.Go(func() { host.Run(ctx) })
}

// advertisedAddress returns the address by which other gateways reach this one. Without a relay address they cannot
// reach it, and the result only identifies it.
func (p *gatewayProcess) advertisedAddress() string {
	if *p.options.relayAddress != "" {
		return *p.options.relayAddress
	}
	return *p.options.callerAddress
}

// host returns the host of a pool.
func (p *gatewayProcess) host(poolName string) (*holder.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	host, hosted := p.hosts[poolName]
	return host, hosted
}

// resumeHosts notifies the holders in this process that it was paused, and returns the names of the hosted pools.
func (p *gatewayProcess) resumeHosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range p.hosts {
		host.ProcessResumed()
	}
	return slices.Sorted(maps.Keys(p.hosts))
}

// Notify implements gateway.Notifier.
func (p *gatewayProcess) Notify(poolName string, row store.Row, clock time.Duration) {
	if host, hosted := p.host(poolName); hosted {
		host.Notify(row, clock)
	}
}

// heldPools returns a snapshot of each pool that this process holds.
func (p *gatewayProcess) heldPools() []pool.Snapshot {
	p.mu.Lock()
	hosts := slices.Collect(maps.Values(p.hosts))
	p.mu.Unlock()
	var held []pool.Snapshot
	for _, host := range hosts {
		if snapshot, ok := host.Snapshot(); ok {
			held = append(held, snapshot)
		}
	}
	return held
}
