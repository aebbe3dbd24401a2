package process_test

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"hollyfork.example/hollyfork/process"
)

// sink is a log writer that can be read while it is written.
type sink struct {
	mu     sync.Mutex
	buffer bytes.Buffer
	// blocked, unless nil, blocks each Write until it is closed.
	blocked chan struct{}
}

func (s *sink) Write(content []byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(content)
}

func (s *sink) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSuffix(s.buffer.String(), "\n"), "\n")
}

// Guards against reuse of a line's buffer while the writer still reads it. The race detector reported this
// in each child process of a test that logged from two goroutines at once.
func TestConcurrentLinesAreIntact(t *testing.T) {
	is := is.New(t)
	const writers, each = 8, 100
	out := &sink{}
	logger, _ := process.NewDroppingLogger(out, "info")
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			for k := range each {
				logger.Info().Int("writer", i).Int("line", k).Msg("test: a line")
			}
		})
	}
	wg.Wait()
	eventually(t, func() bool { return len(out.lines()) == writers*each })
	for _, line := range out.lines() {
		is.True(strings.HasPrefix(line, `{"time":`))
		is.True(strings.HasSuffix(line, `"message":"test: a line"}`))
	}
}

func TestLoggingDoesNotBlock(t *testing.T) {
	is := is.New(t)
	const lines = 5000
	out := &sink{blocked: make(chan struct{})}
	logger, _ := process.NewDroppingLogger(out, "info")
	for k := range lines {
		logger.Info().Int("line", k).Msg("test: a line")
	}
	close(out.blocked)
	eventually(t, func() bool { return strings.Contains(strings.Join(out.lines(), ""), fmt.Sprintf(`"line":%d`, 900)) })
	is.True(len(out.lines()) < lines) // some lines were dropped
}

// Guards against lines that are lost without a trace. With a reader that took 20 KB a second, 1,300 of 3,700 lines on a
// loss of 60 agents were dropped, and nothing said so.
func TestDroppedLinesAreReported(t *testing.T) {
	is := is.New(t)
	const lines = 5000
	out := &sink{blocked: make(chan struct{})}
	logger, flush := process.NewDroppingLogger(out, "info")
	before := counterOf(t, `hollyfork_log_lines_dropped_total{kind="other"}`)
	for k := range lines {
		logger.Info().Int("line", k).Msg("test: a line")
	}
	close(out.blocked)
	flush(10 * time.Second)
	written := out.lines()
	dropped := lines - (len(written) - 1)
	is.True(dropped > 0)
	last := written[len(written)-1]
	is.True(strings.Contains(last, fmt.Sprintf(`"decisions":0,"other":%d,"from":"`, dropped)))
	is.True(strings.Contains(last, "log lines were dropped"))
	is.Equal(counterOf(t, `hollyfork_log_lines_dropped_total{kind="other"}`)-before, dropped)
}

// Guards against a log whose lines on the fate of runs are dropped for the sake of lines on requests.
func TestDecisionsAreDroppedLast(t *testing.T) {
	is := is.New(t)
	const requests, runs = 3000, 2000
	out := &sink{blocked: make(chan struct{})}
	logger, flush := process.NewDroppingLogger(out, "info")
	for range requests {
		logger.Info().Str("path", "/encode/1").Msg("test: a request")
	}
	for k := range runs {
		logger.Info().Str("task", fmt.Sprintf("0000000000000001.0.0.%d", k)).Int("run", 1).Msg("test: a run")
	}
	close(out.blocked)
	flush(10 * time.Second)
	text := strings.Join(out.lines(), "\n")
	is.Equal(strings.Count(text, "test: a run"), runs)
	is.True(strings.Count(text, "test: a request") < requests)
	is.True(strings.Contains(text, `"decisions":0,`))
}

// The reserve is bounded too.
func TestLinesOnDecisionsAreBounded(t *testing.T) {
	is := is.New(t)
	const runs = 10_000
	out := &sink{blocked: make(chan struct{})}
	logger, flush := process.NewDroppingLogger(out, "info")
	for range runs {
		logger.Info().Str("task", "0000000000000001.0.0.0").Int("run", 1).Msg("test: a run")
	}
	close(out.blocked)
	flush(10 * time.Second)
	written := out.lines()
	is.True(len(written) < runs/2)
	is.True(strings.Contains(written[len(written)-1], fmt.Sprintf(`"decisions":%d,`, runs-(len(written)-1))))
}

// counterOf returns the value of a metric of the process.
func counterOf(t *testing.T, name string) int {
	t.Helper()
	var page bytes.Buffer
	metrics.WritePrometheus(&page, false)
	for line := range strings.SplitSeq(page.String(), "\n") {
		if text, found := strings.CutPrefix(line, name+" "); found {
			value, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10 s")
		}
	}
}
