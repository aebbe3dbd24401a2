package cluster

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hollyfork.example/hollyfork/platform/fakes"
)

// callTimeout bounds the time for which a caller waits for a response.
const callTimeout = 3 * time.Second

var programs = flag.String("programs", "", "absolute path of a directory with hollyfork-gateway or hollyfork-sidecar, or both, of another build, which clusters run in place of this one")

// Program is one process of the system.
type Program struct {
	// Proxies are the proxies in the process's connections to the store and from the holder.
	Proxies []*fakes.Proxy
	// Stdout receives the log, unless it is nil.
	Stdout *os.File

	t      testing.TB
	kind   string
	config string
	// address is the address for requests to a gateway, and admin is that of its metrics.
	address string
	admin   string
	command *exec.Cmd
	output  *lockedBuffer
	down    bool
}

// lockedBuffer is a buffer that can be read while it is written.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(content)
}

// String returns the content written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func (c *Cluster) start(kind string, number int, config string) *Program {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), fmt.Sprintf("%s-%d.ini", kind, number))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p := &Program{t: c.t, kind: kind, config: path, output: &lockedBuffer{}}
	p.Launch()
	c.t.Cleanup(func() {
		p.Kill()
		if c.t.Failed() {
			c.t.Logf("%s %d:\n%s", kind, number, p.Output())
		}
	})
	return p
}

// Launch starts the process. It can be called again after the process was killed.
func (p *Program) Launch() {
	p.t.Helper()
	executable, err := executableOf(p.kind)
	if err != nil {
		p.t.Fatal(err)
	}
	//nolint:gosec // The test binary itself, which Main turns into the program, or a program of another build.
	p.command = exec.CommandContext(context.Background(), executable, "-config", p.config)
	p.command.Env = append(os.Environ(), programVariable+"="+p.kind)
	p.command.Stdout = p.output
	if p.Stdout != nil {
		p.command.Stdout = p.Stdout
	}
	p.command.Stderr = p.output
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.down = false
}

// executableOf returns the path of the executable for a kind of program: that of another build if the flag programs
// names a directory that contains it, otherwise the test binary.
func executableOf(kind string) (string, error) {
	if *programs != "" {
		path := filepath.Join(*programs, "hollyfork-"+kind)
		if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
			return path, err
		}
	}
	return os.Executable()
}

// reportPrograms logs the executables of another build. It fails the test if the flag programs names none.
func reportPrograms(t testing.TB) {
	t.Helper()
	if *programs == "" {
		return
	}
	found, err := filepath.Glob(filepath.Join(*programs, "hollyfork-*"))
	if err != nil || len(found) == 0 {
		t.Fatalf("no program of another build in %q: %v", *programs, err)
	}
	t.Logf("programs of another build: %s", strings.Join(found, ", "))
}

// Running reports whether the process was launched and neither killed nor stopped since.
func (p *Program) Running() bool {
	return !p.down
}

// Kill kills the process and waits until it has exited.
func (p *Program) Kill() {
	p.down = true
	// The process may have exited already, and its exit code is irrelevant.
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// Signal sends a signal to the process. After SIGSTOP it waits until the process is stopped: on a busy VM, the process
// continues to run for about 20 ms and could carry out an order that a test sends in this time.
func (p *Program) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
	if s == syscall.SIGSTOP {
		Eventually(p.t, "a process is stopped", p.stopped)
	}
}

// stopped reports whether all threads of the process are stopped.
func (p *Program) stopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		_, rest, _ := strings.Cut(string(content), ") ")
		if err == nil && !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// Stop sends SIGTERM to the process and waits until it has exited.
func (p *Program) Stop() {
	p.t.Helper()
	p.Signal(syscall.SIGTERM)
	p.down = true
	_ = p.command.Wait()
}

// Output returns the output of the process so far.
func (p *Program) Output() string {
	return p.output.String()
}

// AwaitReady waits until the gateway accepts requests.
func (p *Program) AwaitReady() {
	p.t.Helper()
	Eventually(p.t, "a gateway accepts requests", func() bool {
		status, _ := p.Call(http.MethodGet, Prefix, APIKey, "")
		return status == http.StatusOK
	})
}

// Call sends a request as a caller and returns the status and the body of the response; 0 and empty if there is none.
func (p *Program) Call(method, path, key, body string) (status int, content string) {
	p.t.Helper()
	request := p.request(method, "http://"+p.address+path, strings.NewReader(body))
	request.Host = host
	request.Header.Set("Api-Key", key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	status, content, err := send(request)
	if err != nil {
		return 0, ""
	}
	return status, content
}

func (p *Program) request(method, url string, body io.Reader) *http.Request {
	p.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		p.t.Fatal(err)
	}
	return request
}

func send(request *http.Request) (status int, content string, err error) {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// Admin returns the base URL of the gateway's metrics and state.
func (p *Program) Admin() string {
	return "http://" + p.admin
}

// Fetch returns a page that the gateway serves at its metrics address.
func (p *Program) Fetch(path string) string {
	p.t.Helper()
	_, content, err := send(p.request(http.MethodGet, "http://"+p.admin+path, http.NoBody))
	if err != nil {
		p.t.Fatal(err)
	}
	return content
}
