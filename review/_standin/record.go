package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run. It is safe for concurrent use.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// add writes a line with the time since the start of the case. The kind tells who speaks: client, operator, worker,
// platform, process or check.
func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %-8s  %s\n", time.Since(r.startedAt).Seconds(), kind, fmt.Sprintf(format, args...))
}

// say is like add, and prints the line as well.
func (r *record) say(kind, format string, args ...any) {
	r.add(kind, format, args...)
	fmt.Printf("%9.3f s  %-8s  %s\n", time.Since(r.startedAt).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
