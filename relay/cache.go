package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/store"
)

// maxCachedRows bounds the cache. Callers request one row per pool.
const maxCachedRows = 64

type (
	// rowCache caches recently read rows. Create it with newRowCache. It is safe for concurrent use.
	rowCache struct {
		clock  clock.Clock
		reader store.Reader
		reads  singleflight.Group

		mu   sync.Mutex
		rows map[store.Key]cachedRow
	}

	cachedRow struct {
		row store.Row
		// requestedAt is when the request that returned the row was sent.
		requestedAt time.Time
	}
)

func newRowCache(c clock.Clock, r store.Reader) *rowCache {
	return &rowCache{clock: c, reader: r, rows: map[store.Key]cachedRow{}}
}

// get returns a row that is at most maxAge old. Concurrent calls for the same row share one request to the
// store.
func (c *rowCache) get(ctx context.Context, key store.Key, maxAge time.Duration) (store.Row, error) {
	if row, ok := c.lookup(key, maxAge); ok {
		return row, nil
	}
	row, err, _ := c.reads.Do(key.Table+"/"+key.Part+"/"+key.Name, func() (any, error) {
		requestedAt := c.clock.Now()
		row, err := store.Get(ctx, c.reader, key)
		if err == nil {
			c.put(key, cachedRow{row: row, requestedAt: requestedAt})
		}
		return row, err
	})
	found, _ := row.(store.Row)
	return found, err
}

func (c *rowCache) lookup(key store.Key, maxAge time.Duration) (store.Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry, ok := c.rows[key]
	return entry.row, ok && c.clock.Now().Sub(entry.requestedAt) <= maxAge
}

func (c *rowCache) put(key store.Key, entry cachedRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rows) >= maxCachedRows {
		clear(c.rows)
	}
	c.rows[key] = entry
}
