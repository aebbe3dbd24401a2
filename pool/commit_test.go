package pool

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
)

// maxTransactionBytes is the size of a transaction from which the store refuses it, in bytes.
const maxTransactionBytes = 1_000_000

// Guards against LOST: the rows of many wide jobs changed at once, and the store refused their transaction for its size,
// and with it each later one of the pool.
func TestBatchesOfLargeRowsFitIntoTransactions(t *testing.T) {
	is := is.New(t)
	const jobs, width, workers = 30, 1000, 8
	now := time.Unix(1000, 0)
	c := New("pool", DefaultSettings(), nil)
	for i := range workers {
		c.reportIdleWorker(now, fmt.Sprintf("sidecar-%02d.data-centre-north", i), "i-"+strings.Repeat(fmt.Sprint(i), 8), 1)
	}
	for i := range jobs {
		j := oneTask(i, time.Minute)
		j.Steps[0].Count, j.Steps[0].Shape = width, job.Shape{CPUMillis: 10, MemoryMB: 10}
		c.AddJob(now, NewJob{Job: j})
	}
	c.Decide(now)
	committed := map[string]bool{}
	total := 0
	for batch := c.TakeBatch(); batch != nil; batch = c.TakeBatch() {
		size := 0
		for _, w := range batch.Writes {
			size += base64.StdEncoding.EncodedLen(len(w.Value)) + len(w.Key.Name) + len(w.Key.Part) + len(w.Key.Table)
			committed[w.Key.Name] = true
		}
		is.True(size < maxTransactionBytes)
		total += size
		c.BatchCommitted(now)
	}
	is.True(total > maxTransactionBytes)
	for i := range jobs {
		is.True(committed[StateKey("pool", job.ID(fmt.Sprintf("%016x", i))).Name])
	}
}
