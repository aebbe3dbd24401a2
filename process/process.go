// Package process provides what every process of the system has: a logger and a server for operators that
// serves its state and metrics.
package process

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

const (
	readHeaderTimeout = 5 * time.Second
	bootIDFile        = "/proc/sys/kernel/random/boot_id"
)

// NewLogger returns a logger for messages at the given level (debug, info, warn or error) and above.
func NewLogger(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.IOWriter{Writer: w},
	}
}

// NewDroppingLogger is like NewLogger, but never blocks: lines are dropped while the queue is full. Lines that name a
// job, a task, a worker or a holder's epoch are dropped last. Dropped lines are counted in the metrics, and reported in the log once the reader has
// caught up. The function flush waits for the reader, at most for the given time.
func NewDroppingLogger(w io.Writer, level string) (logger *log.Logger, flush func(timeout time.Duration)) {
	q := newLineQueue(w)
	return NewLogger(q, level), q.flush
}

// Machine returns an identifier of the VM that the process runs on and of its current boot. It changes when
// the VM is restarted or replaced, because the VM's tasks are lost then.
func Machine(vm string) string {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		return vm
	}
	return vm + "/" + strings.TrimSpace(string(boot))
}

// Admin serves the state and metrics of a process to operators. Create it with NewAdmin.
type Admin struct {
	server *http.Server
}

// NewAdmin returns a server that serves the result of dump as JSON under /debug/state, and metrics under
// /metrics. If set is nil, only the metrics of the process itself are served.
func NewAdmin(dump func() any, set *metrics.Set) *Admin {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(dump())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if set != nil {
			set.WritePrometheus(w)
		}
		metrics.WritePrometheus(w, true) // the counters of the log, and of the process
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	return &Admin{server: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}}
}

// Serve accepts connections on a listener until Close.
func (a *Admin) Serve(listener net.Listener) {
	_ = a.server.Serve(listener)
}

// Close stops the server.
func (a *Admin) Close() error {
	return a.server.Close()
}
