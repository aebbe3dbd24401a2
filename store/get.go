package store

import "context"

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
