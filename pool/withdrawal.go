package pool

import (
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// WithdrawalAge is how long the cancellation of an unknown job is kept. The store refuses the job's row meanwhile,
// also if a gateway has sent it before: some seconds may pass between the two.
const WithdrawalAge = time.Minute

type (
	// withdrawals are the cancellations whose effect is open: no job is known under their identifiers, or it is not known
	// whether it was accepted later. They are copies: their rows may have been deleted.
	withdrawals struct {
		byKey   map[store.Key]withdrawal
		sweptAt time.Time
	}

	// withdrawal is the row of such a cancellation.
	withdrawal struct {
		keys    JobKeys
		version uint64
		at      time.Time
	}
)

// WithdrawalEnd returns the reading of the store's clock at which the cancellation of an unknown job is too old to be
// kept; 0 if the row can't be decoded.
func WithdrawalEnd(row store.Row) time.Duration {
	content := &poolpb.CancelRow{}
	if proto.Unmarshal(row.Value, content) != nil {
		return 0
	}
	return time.Duration(content.GetCancelledMs())*time.Millisecond + WithdrawalAge
}

// add records a cancellation, unless a later one under the same key is known.
func (w *withdrawals) add(row withdrawal) {
	if row.version < w.byKey[row.keys.Cancel].version {
		return
	}
	if w.byKey == nil {
		w.byKey = map[store.Key]withdrawal{}
	}
	w.byKey[row.keys.Cancel] = row
}

// legacy reports whether the row lies under the key of earlier releases.
func (w withdrawal) legacy() bool {
	return !inJobPart(w.keys.Cancel)
}
