package store

import (
	"context"
	"time"
)

// RecentReader reads rows for who is content with a copy that is some time old.
type RecentReader interface {
	// Recent returns a row as it was no longer ago than a time. One that did not exist has version 0.
	Recent(ctx context.Context, key Key, maxAge time.Duration) (Row, error)
}

// Present reads rows anew each time. Create it with NewPresent.
type Present struct {
	reader Reader
}

// NewPresent returns a RecentReader without copies.
func NewPresent(r Reader) Present {
	return Present{reader: r}
}

// Recent implements RecentReader.
func (p Present) Recent(ctx context.Context, key Key, _ time.Duration) (Row, error) {
	return Get(ctx, p.reader, key)
}

// NextName returns the lowest name behind a name.
func NextName(name string) string {
	// Names are printable text, of which this is the lowest sign.
	return name + "!"
}

// Get reads one row. One that does not exist has version 0.
func Get(ctx context.Context, r Reader, key Key) (Row, error) {
	page, err := r.Read(ctx, Range{Table: key.Table, Part: key.Part, From: key.Name, To: NextName(key.Name)})
	if err != nil {
		return Row{}, err
	}
	for _, row := range page.Rows {
		if row.Key == key {
			return row, nil
		}
	}
	return Row{Key: key}, nil
}
