package store

import (
	"context"
	"time"
)

// RecentReader reads rows for callers that accept a copy of a limited age.
type RecentReader interface {
	// Recent returns a row as it was at most maxAge ago. A row that did not exist has version 0.
	Recent(ctx context.Context, key Key, maxAge time.Duration) (Row, error)
}

// DirectReader reads every row from the store. Create it with NewDirectReader.
type DirectReader struct {
	reader Reader
}

// NewDirectReader returns a RecentReader that uses no copies.
func NewDirectReader(r Reader) DirectReader {
	return DirectReader{reader: r}
}

// Recent implements RecentReader.
func (p DirectReader) Recent(ctx context.Context, key Key, _ time.Duration) (Row, error) {
	return Get(ctx, p.reader, key)
}

// NextName returns the lowest name that sorts after a name.
func NextName(name string) string {
	// Names consist of printable characters, of which this is the lowest.
	return name + "!"
}

// Get reads one row. A row that does not exist has version 0.
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
