package pool

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/wire/poolpb"
)

// This file encodes the rows of jobs in the state table, which grow with the tasks that run and the crashes of their
// workers.

const (
	// maxValueBytes is the maximum size of a row's value, in bytes (the platform's row_bytes).
	maxValueBytes = 65536
	// maxStateBytes is the maximum size of a state row before it is compressed, in bytes.
	maxStateBytes = 16 << 20
	// compressedMark is the first byte of a compressed row. No other row begins with it: that would be a field with the
	// number 0.
	compressedMark = 0
	// shortLayout is the layout of rows that list what is done in short. Earlier releases take them for malformed, and
	// start nothing of their jobs.
	shortLayout = 2
	// maxDoneTasks is the maximum number of groups that a row lists in short: all of a job's open rounds.
	maxDoneTasks = maxOpenRounds * job.MaxTasks
	// maxBytesToOpen is the size of a compressed row, in bytes, from which on no further round of its job is opened.
	maxBytesToOpen = maxValueBytes / 2
)

// encodeState returns the value of a job's row in the state table. A row that is longer than a value may be is compressed,
// and one that is too long even so lists what is done in short. The others are as earlier releases read them.
func encodeState(row *poolpb.StateRow) []byte {
	plain := Encode(row)
	if len(plain) <= maxValueBytes {
		return plain
	}
	if compressed := compressRow(plain); len(compressed) <= maxValueBytes {
		return compressed
	}
	return compressRow(Encode(shortened(row)))
}

// shortened returns a row with the same content, but for the numbers of runs of what is done: that is not started again.
func shortened(row *poolpb.StateRow) *poolpb.StateRow {
	short := &poolpb.StateRow{Layout: shortLayout, State: row.GetState(), DoneRoundsBelow: row.GetDoneRoundsBelow(), DoneRounds: row.GetDoneRounds()}
	var last *poolpb.DoneTasks
	for _, g := range row.GetGroups() {
		switch {
		case !g.GetDone():
			short.Groups = append(short.Groups, g)
		case last != nil && last.GetRound() == g.GetRound() && last.GetStep() == g.GetStep() && last.GetFirst()+last.GetGroups() == g.GetFirst():
			last.Groups++
		default:
			last = &poolpb.DoneTasks{Round: g.GetRound(), Step: g.GetStep(), First: g.GetFirst(), Groups: 1}
			short.DoneTasks = append(short.DoneTasks, last)
		}
	}
	return short
}

// expand replaces a row's short list of what is done by its groups.
func expand(row *poolpb.StateRow) error {
	if row.GetLayout() != shortLayout {
		return nil
	}
	total := 0
	for _, done := range row.GetDoneTasks() {
		count := int(done.GetGroups())
		if total += count; count < 0 || total > maxDoneTasks {
			return &Error{Op: "decode a list of what is done", Kind: KindCorrupt}
		}
		for i := range done.GetGroups() {
			row.Groups = append(row.Groups, &poolpb.GroupState{Round: done.GetRound(), Step: done.GetStep(), First: done.GetFirst() + i, Done: true})
		}
	}
	row.DoneTasks, row.Layout = nil, rowLayout
	return nil
}

func compressRow(plain []byte) []byte {
	compressed := bytes.NewBuffer([]byte{compressedMark})
	w, err := flate.NewWriter(compressed, flate.BestSpeed)
	if err != nil {
		panic(err) // there is no such level
	}
	_, _ = w.Write(plain) // never fails on a buffer
	_ = w.Close()
	return compressed.Bytes()
}

// unmarshalState decodes the value of a job's row in the state table.
func unmarshalState(value []byte) (*poolpb.StateRow, error) {
	if len(value) > 0 && value[0] == compressedMark {
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxStateBytes))
		if err != nil {
			return nil, err
		}
		value = plain
	}
	content := &poolpb.StateRow{}
	if err := proto.Unmarshal(value, content); err != nil {
		return nil, err
	}
	return content, expand(content)
}

// compressedLength returns the length of a state row's value if it is compressed, or 0.
func compressedLength(value []byte) int {
	if len(value) > 0 && value[0] == compressedMark {
		return len(value)
	}
	return 0
}

// isSetAside reports whether the job's state could not be written. The job is then left out of the batches, so that those
// of the others are committed, and the next Tick ends it. The row of the ended job has no groups.
func (j *jobState) isSetAside() bool {
	return j.unwrittenBytes > 0
}

// endSetAside ends a job that is set aside.
func (c *Core) endSetAside(now time.Time, j *jobState) {
	if j.isSetAside() && !j.state.ended() {
		c.endJob(now, j, Failed, fmt.Sprintf("its state takes %d bytes, the store's limit is %d", j.unwrittenBytes, maxValueBytes))
	}
}
