package relay

import (
	"errors"
	"time"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/relaypb"
)

func keyToProto(k store.Key) *relaypb.Key {
	return &relaypb.Key{Table: k.Table, Part: k.Part, Name: k.Name}
}

func keyFromProto(k *relaypb.Key) store.Key {
	return store.Key{Table: k.GetTable(), Part: k.GetPart(), Name: k.GetName()}
}

func txnToProto(txn store.Txn) *relaypb.CommitRequest {
	request := &relaypb.CommitRequest{}
	for _, c := range txn.Checks {
		request.Checks = append(request.Checks, &relaypb.Check{Key: keyToProto(c.Key), Version: c.Version})
	}
	for _, w := range txn.Writes {
		request.Writes = append(request.Writes, &relaypb.Write{Key: keyToProto(w.Key), Value: w.Value, Delete: w.Delete})
	}
	return request
}

func txnFromProto(request *relaypb.CommitRequest) store.Txn {
	txn := store.Txn{}
	for _, c := range request.GetChecks() {
		txn.Checks = append(txn.Checks, store.Check{Key: keyFromProto(c.GetKey()), Version: c.GetVersion()})
	}
	for _, w := range request.GetWrites() {
		txn.Writes = append(txn.Writes, store.Write{Key: keyFromProto(w.GetKey()), Value: w.GetValue(), Delete: w.GetDelete()})
	}
	return txn
}

func rangeToProto(r store.Range) *relaypb.ReadRequest {
	return &relaypb.ReadRequest{Table: r.Table, Part: r.Part, From: r.From, To: r.To, Limit: int32(r.Limit)}
}

func rangeFromProto(request *relaypb.ReadRequest) store.Range {
	return store.Range{
		Table: request.GetTable(),
		Part:  request.GetPart(),
		From:  request.GetFrom(),
		To:    request.GetTo(),
		Limit: int(request.GetLimit()),
	}
}

func rowsToProto(rows []store.Row) []*relaypb.Row {
	list := make([]*relaypb.Row, len(rows))
	for i, r := range rows {
		list[i] = &relaypb.Row{Key: keyToProto(r.Key), Value: r.Value, Version: r.Version, Deleted: r.Deleted}
	}
	return list
}

func rowsFromProto(rows []*relaypb.Row) []store.Row {
	list := make([]store.Row, len(rows))
	for i, r := range rows {
		list[i] = store.Row{Key: keyFromProto(r.GetKey()), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()}
	}
	return list
}

var kindsToProto = map[store.Kind]relaypb.Outcome_Kind{
	store.KindRefused:        relaypb.Outcome_REFUSED,
	store.KindOutcomeUnknown: relaypb.Outcome_UNSETTLED,
	store.KindConflict:       relaypb.Outcome_CONFLICT,
	store.KindHistoryGone:    relaypb.Outcome_HISTORY_GONE,
	store.KindInvalid:        relaypb.Outcome_INVALID,
}

var kindsFromProto = map[relaypb.Outcome_Kind]store.Kind{
	relaypb.Outcome_REFUSED:      store.KindRefused,
	relaypb.Outcome_UNSETTLED:    store.KindOutcomeUnknown,
	relaypb.Outcome_CONFLICT:     store.KindConflict,
	relaypb.Outcome_HISTORY_GONE: store.KindHistoryGone,
	relaypb.Outcome_INVALID:      store.KindInvalid,
}

// fillOutcome writes the store's answer into a reply. An error kind without a value on the wire becomes
// UNSETTLED.
func fillOutcome(outcome *relaypb.Outcome, page store.Page, err error) {
	outcome.Rows = rowsToProto(page.Rows)
	outcome.Version = page.Stamp.Version
	outcome.ClockMs = page.Stamp.Clock.Milliseconds()
	outcome.AgeUs = page.Stamp.Age.Microseconds()
	if err == nil {
		return
	}
	outcome.Text = err.Error()
	kind, known := kindsToProto[store.KindOf(err)]
	if !known {
		kind = relaypb.Outcome_UNSETTLED
	}
	outcome.Kind = kind
	var failure *store.Error
	if errors.As(err, &failure) {
		outcome.Rows = rowsToProto(failure.Rows)
	}
}

// pageFromOutcome returns the store's answer from the reply of another gateway.
func pageFromOutcome(op string, outcome *relaypb.Outcome) (store.Page, error) {
	rows := rowsFromProto(outcome.GetRows())
	if outcome.GetKind() != relaypb.Outcome_OK {
		return store.Page{}, &store.Error{Op: op, Kind: kindsFromProto[outcome.GetKind()], Rows: rows, Err: errors.New(outcome.GetText())}
	}
	stamp := store.Stamp{
		Version: outcome.GetVersion(),
		Clock:   time.Duration(outcome.GetClockMs()) * time.Millisecond,
		Age:     time.Duration(outcome.GetAgeUs()) * time.Microsecond,
	}
	return store.Page{Rows: rows, Stamp: stamp}, nil
}
