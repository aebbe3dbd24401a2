package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/store"
)

// maxCopies bounds the rows of which copies are kept: one a pool is asked for.
const maxCopies = 64

type (
	// copies are rows as they were read lately. Create them with newCopies. They are safe for concurrent use.
	copies struct {
		clock  clock.Clock
		reader store.Reader
		reads  singleflight.Group

		mu   sync.Mutex
		rows map[store.Key]rowCopy
	}

	rowCopy struct {
		row store.Row
		// sent is when the question was sent that was answered with it.
		sent time.Time
	}
)

func newCopies(c clock.Clock, r store.Reader) *copies {
	return &copies{clock: c, reader: r, rows: map[store.Key]rowCopy{}}
}

// get returns a row as it was no longer ago than a time. Those that ask for it at once share a question to the store.
func (c *copies) get(ctx context.Context, key store.Key, maxAge time.Duration) (store.Row, error) {
	if row, ok := c.known(key, maxAge); ok {
		return row, nil
	}
	row, err, _ := c.reads.Do(key.Table+"/"+key.Part+"/"+key.Name, func() (any, error) {
		sent := c.clock.Now()
		row, err := store.Get(ctx, c.reader, key)
		if err == nil {
			c.keep(key, rowCopy{row: row, sent: sent})
		}
		return row, err
	})
	found, _ := row.(store.Row)
	return found, err
}

func (c *copies) known(key store.Key, maxAge time.Duration) (store.Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, known := c.rows[key]
	return kept.row, known && c.clock.Now().Sub(kept.sent) <= maxAge
}

func (c *copies) keep(key store.Key, kept rowCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rows) >= maxCopies {
		clear(c.rows)
	}
	c.rows[key] = kept
}
