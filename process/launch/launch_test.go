package launch_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/process/launch"
)

// slowReader takes the first line late.
type slowReader struct {
	mu    sync.Mutex
	lines bytes.Buffer
	awake bool
}

// Write implements io.Writer.
func (r *slowReader) Write(content []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.awake {
		r.awake = true
		time.Sleep(10 * time.Millisecond)
	}
	return r.lines.Write(content)
}

func (r *slowReader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.String()
}

// Guards against a program whose last lines are lost when it ends.
func TestLastLinesAreWritten(t *testing.T) {
	is := is.New(t)
	const lines = 100
	out := &slowReader{}
	code := launch.Run("test", "info", out, io.Discard, func(logger *log.Logger) error {
		for range lines {
			logger.Info().Msg("test: a line")
		}
		return nil
	})
	is.Equal(code, launch.ExitOK)
	is.Equal(strings.Count(out.String(), "test: a line"), lines)
}

// A reader that takes nothing holds up no program for long.
func TestStuckReaderDelaysNoEnd(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	began := time.Now()
	code := launch.Run("test", "info", writer, io.Discard, func(logger *log.Logger) error {
		logger.Info().Msg("test: a line")
		return nil
	})
	is.Equal(code, launch.ExitOK)
	is.True(time.Since(began) < 5*time.Second)
}
