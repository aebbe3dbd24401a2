// Package store defines the interface of the platform's store: versioned rows, conditional transactions and a
// feed of changes. Package platform/adapter has the client.
package store

import (
	"context"
	"time"
)

type (
	// Key identifies a row. Rows of one part can be changed in one transaction.
	Key struct {
		Table string
		Part  string
		Name  string
	}

	// Row is a row at the version of its last change.
	Row struct {
		Key     Key
		Value   []byte
		Version uint64
		// Deleted is true if the last change deleted the row; only feeds contain such rows.
		Deleted bool
	}

	// Check requires that a row has a version; version 0 requires that the row does not exist.
	Check struct {
		Key     Key
		Version uint64
	}

	// Write replaces a row, or deletes it.
	Write struct {
		Key    Key
		Value  []byte
		Delete bool
	}

	// Txn is a transaction. If every check holds, all writes take effect; otherwise none does.
	Txn struct {
		Checks []Check
		Writes []Write
	}

	// Stamp is the version and the clock of the store at the time of an answer.
	Stamp struct {
		Version uint64
		// Clock is the reading of the store's monotonic clock.
		Clock time.Duration
		// Age is 0 in an answer of the store itself. In an answer from a copy, it is the time from the moment
		// as of which the copy is confirmed to be up to date until the request was sent; negative if that
		// moment came later.
		Age time.Duration
	}

	// Range is the rows of one part with names from From, inclusive, to To, exclusive. An empty To means that
	// there is no upper bound.
	Range struct {
		Table string
		Part  string
		From  string
		To    string
		// Limit is the maximum number of rows to read; 0 for all.
		Limit int
	}

	// Page is the result of a read and the stamp of its answer.
	Page struct {
		Rows  []Row
		Stamp Stamp
	}

	// Reader reads rows and their changes.
	Reader interface {
		// Read returns the rows of a range in the order of their names. The rows of each page of the store are
		// of one moment; different pages may be of different moments.
		Read(ctx context.Context, r Range) (Page, error)
		// Follow returns the rows of a table that changed after a version, as soon as there are any, or no rows
		// after a wait.
		Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	}

	// Store is the platform's store.
	Store interface {
		Reader

		// Commit sends a transaction once, without retries. An error of KindConflict contains the current rows
		// of the checks.
		Commit(ctx context.Context, txn Txn) (Stamp, error)
	}
)

// Contains reports whether a row is in the range, regardless of the limit.
func (r Range) Contains(key Key) bool {
	return key.Table == r.Table && key.Part == r.Part && key.Name >= r.From && (r.To == "" || key.Name < r.To)
}
