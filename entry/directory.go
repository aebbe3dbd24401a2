package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/rpc"
	"hollyfork.example/wire"
)

const (
	// callTimeout limits the time of a single call to a holder.
	callTimeout = 9 * time.Second
	// routeTimeout limits the time for which a call is retried while no holder answers.
	routeTimeout    = 4 * time.Second
	routeRetryDelay = 200 * time.Millisecond
	// maxRouteAge is the age at which a holder's address is read from the store again.
	maxRouteAge = 30 * time.Second
)

var errNoHolder = errors.New("the hall has never had a holder")

// directory caches the address of each hall's holder, and the clients for these addresses.
type directory struct {
	store   store.Store
	traffic *rpc.Traffic

	mu      sync.Mutex
	routes  map[string]route
	clients map[string]*rpc.Client
}

// route is the address of a hall's holder with the time at which it was read from the store.
type route struct {
	address string
	readAt  time.Time
}

func newDirectory(s store.Store, traffic *rpc.Traffic) *directory {
	return &directory{
		store:   s,
		traffic: traffic,
		routes:  map[string]route{},
		clients: map[string]*rpc.Client{},
	}
}

func (d *directory) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, client := range d.clients {
		_ = client.Close()
	}
}

// client returns a client for the holder of a hall. It reads the holder's address from the store if the cached one is
// missing or too old.
func (d *directory) client(ctx context.Context, now time.Time, name string) (*rpc.Client, error) {
	d.mu.Lock()
	known, ok := d.routes[name]
	d.mu.Unlock()
	if ok && now.Sub(known.readAt) < maxRouteAge {
		return d.clientFor(known.address), nil
	}
	lease, version, err := hall.ReadLease(ctx, d.store, name)
	switch {
	case err != nil && ok:
		// While the store is unavailable, an old address is better than none.
		return d.clientFor(known.address), nil
	case err != nil:
		return nil, err
	case version == 0:
		return nil, errNoHolder
	}
	d.mu.Lock()
	d.routes[name] = route{address: lease.GetAddress(), readAt: now}
	d.mu.Unlock()
	return d.clientFor(lease.GetAddress()), nil
}

func (d *directory) clientFor(address string) *rpc.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = rpc.NewClient(address, d.traffic)
		d.clients[address] = client
	}
	return client
}

// invalidate marks a hall's address as outdated, so that the next call reads it again. The address stays in the cache
// as a fallback while the store is unavailable.
func (d *directory) invalidate(name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.routes[name]; known.address == address {
		known.readAt = time.Time{}
		d.routes[name] = known
	}
}

// refusable is a reply that may contain a refusal.
type refusable interface {
	proto.Message

	GetRefusal() *wire.Refusal
}

// callHolder sends a request to the holder of a hall. If the call fails or the process is not the holder, it looks up
// the holder and retries for up to routeTimeout. It also repeats requests that may have been executed, since all
// requests are idempotent.
func callHolder[R any, P interface {
	*R
	refusable
}](ctx context.Context, d *directory, name, method string, request proto.Message) (P, error) {
	deadline := clock.Now().Add(routeTimeout)
	for {
		answer, err := callHolderOnce[R, P](ctx, d, name, method, request)
		if err == nil && answer.GetRefusal().GetKind() != wire.Refusal_NOT_HOLDER {
			return answer, nil
		}
		if clock.Now().After(deadline) || ctx.Err() != nil {
			return nil, hallUnavailable(name)
		}
		backoff.Sleep(ctx, routeRetryDelay)
	}
}

func callHolderOnce[R any, P interface {
	*R
	refusable
}](ctx context.Context, d *directory, name, method string, request proto.Message) (P, error) {
	client, err := d.client(ctx, clock.Now(), name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := rpc.Call[R, P](ctx, client, hall.ServiceName+"."+method, request)
	if err != nil || answer.GetRefusal().GetKind() == wire.Refusal_NOT_HOLDER {
		d.invalidate(name, client.Address())
	}
	return answer, err
}

func hallUnavailable(name string) error {
	return api.NewError(api.KindHallUnavailable, "no process answers for "+name+" at the moment").WithRetryAfter(retryAfter)
}
