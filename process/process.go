// Package process holds what every process of the system has: a log, and an address
// at which operators see its state and metrics.
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

// NewLogger returns a log of lines at a level (debug, info, warn or error) and above.
func NewLogger(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.IOWriter{Writer: w},
	}
}

// NewDroppingLogger is like NewLogger, but never waits for the reader: lines that find the
// queue full are dropped.
func NewDroppingLogger(w io.Writer, level string) *log.Logger {
	return NewLogger(newLineQueue(w), level)
}

// Machine names the VM that the process runs on and its present start: a VM that was
// restarted or replaced has another name, for it has lost what it ran.
func Machine(vm string) string {
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		return vm
	}
	return vm + "/" + strings.TrimSpace(string(boot))
}

// Admin serves a process's state and metrics to operators. Create it with NewAdmin.
type Admin struct {
	server *http.Server
}

// NewAdmin returns a server of what dump returns, as JSON under /debug/state, and of
// metrics under /metrics. Nil metrics stand for the process's own alone.
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
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	return &Admin{server: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}}
}

// Serve answers on a listener until Close.
func (a *Admin) Serve(listener net.Listener) {
	_ = a.server.Serve(listener)
}

// Close ends the server.
func (a *Admin) Close() error {
	return a.server.Close()
}
