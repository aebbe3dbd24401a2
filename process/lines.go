package process

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
)

const (
	// ordinaryLines is the maximum number of lines that wait for a slow reader. Beyond it there is room for
	// reservedLines more about decisions of a pool.
	ordinaryLines = 1000
	reservedLines = 3000
	// maxGapAge is the time after which dropped lines are reported although others still wait for the reader.
	maxGapAge = 10 * time.Second
)

var (
	// decisionFields are the fields by which lines about decisions of a pool are known.
	decisionFields = [][]byte{[]byte(`"task":"`), []byte(`"job":"`), []byte(`"runs":[`), []byte(`"epoch":`), []byte(`"worker":"`)}

	droppedDecisions  = metrics.NewCounter(`hollyfork_log_lines_dropped_total{kind="decision"}`)
	droppedOtherLines = metrics.NewCounter(`hollyfork_log_lines_dropped_total{kind="other"}`)
	failedWrites      = metrics.NewCounter(`hollyfork_log_write_failures_total`)
)

type (
	// lineQueue writes lines in the background. It replaces the queue of the log library, which reads a line
	// after its writer may have reused the buffer: the race detector reported this 230 times in one run of the
	// tests.
	lineQueue struct {
		// lines holds nil where flush waits.
		lines   chan *[]byte
		flushed chan struct{}
		// free holds the buffers of written lines for reuse.
		free sync.Pool

		// hasGap is set while gap holds dropped lines that have not been reported.
		hasGap atomic.Bool
		mu     sync.Mutex
		gap    gap
	}

	// gap counts lines that were dropped in a period.
	gap struct {
		from, to time.Time
		// decisions counts the lines about decisions of a pool, and other counts the rest.
		decisions, other int
	}
)

func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan *[]byte, ordinaryLines+reservedLines), flushed: make(chan struct{}, 1)}
	go q.drain(w)
	return q
}

// Write copies a line to the queue, or drops it if the queue has no room for it. It never blocks.
func (q *lineQueue) Write(line []byte) (int, error) {
	if len(q.lines) >= ordinaryLines && !isDecision(line) {
		q.drop(false)
		return len(line), nil
	}
	buffer, ok := q.free.Get().(*[]byte)
	if !ok {
		buffer = new([]byte)
	}
	*buffer = append((*buffer)[:0], line...)
	select {
	case q.lines <- buffer:
	default:
		q.free.Put(buffer)
		q.drop(isDecision(line))
	}
	return len(line), nil
}

// isDecision reports whether a line is about a decision of a pool.
func isDecision(line []byte) bool {
	for _, field := range decisionFields {
		if bytes.Contains(line, field) {
			return true
		}
	}
	return false
}

// drop counts a line that is dropped.
func (q *lineQueue) drop(decision bool) {
	now := clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.hasGap.Swap(true) {
		q.gap = gap{from: now}
	}
	q.gap.to = now
	if decision {
		q.gap.decisions++
		droppedDecisions.Inc()
		return
	}
	q.gap.other++
	droppedOtherLines.Inc()
}

// drain writes the queued lines. A line that cannot be written is lost and counted.
func (q *lineQueue) drain(w io.Writer) {
	reports := NewLogger(w, "warn")
	for line := range q.lines {
		if line == nil {
			q.reportGap(reports)
			q.flushed <- struct{}{}
			continue
		}
		if _, err := w.Write(*line); err != nil {
			failedWrites.Inc()
		}
		q.free.Put(line)
		q.reportGap(reports)
	}
}

// reportGap writes a line on the dropped lines once all lines from before them are written.
func (q *lineQueue) reportGap(reports *log.Logger) {
	if !q.hasGap.Load() {
		return
	}
	now := clock.Now()
	q.mu.Lock()
	dropped := q.gap
	due := len(q.lines) == 0 || now.Sub(dropped.from) > maxGapAge
	if due {
		q.hasGap.Store(false)
	}
	q.mu.Unlock()
	if !due {
		return
	}
	offset := clock.WallClockOffset(now) // The lines' times are of the wall clock.
	reports.Warn().Int("decisions", dropped.decisions).Int("other", dropped.other).Time("from", dropped.from.Add(offset)).Time("to", dropped.to.Add(offset)).
		Msg("process: log lines were dropped, since their reader was slow")
}

// flush waits until all lines that are queued have been written, at most for the given time. It must not be called
// concurrently.
func (q *lineQueue) flush(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case q.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-q.flushed:
	case <-timer.C:
	}
}
