package pool

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

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
)

// encodeState returns the value of a job's row in the state table. A row that is longer than a value may be is compressed;
// the others are as earlier releases read them.
func encodeState(row *poolpb.StateRow) []byte {
	plain := Encode(row)
	if len(plain) <= maxValueBytes {
		return plain
	}
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
	return content, nil
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
