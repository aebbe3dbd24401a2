// Package launch provides the common start of all main functions: parsing settings and opening listeners.
package launch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"hollyfork.example/hollyfork/process"
	"hollyfork.example/hollyfork/settings"
)

// Exit codes of programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// logFlushTimeout is the time that a slow reader of the log has at the end of a program.
const logFlushTimeout = 200 * time.Millisecond

// Parse parses the settings of a program. If done is true, the program has to exit with the given code.
func Parse(s *settings.Set, args []string, stdout, stderr io.Writer) (code int, done bool) {
	err := s.Parse(args)
	switch {
	case errors.Is(err, settings.ErrHelp):
		return ExitOK, true
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage, true
	case s.CheckOnly():
		_, _ = fmt.Fprintln(stdout, "The settings are good.")
		return ExitOK, true
	}
	return ExitOK, false
}

// LogLevel adds the setting log.level.
func LogLevel(s *settings.Set) *string {
	return settings.Add(s, "log.level", "info", "debug, info, warn or error", settings.OneOf("debug", "info", "warn", "error"))
}

// Run runs a program that logs to stdout and returns its exit code.
func Run(name, level string, stdout, stderr io.Writer, run func(*log.Logger) error) int {
	logger, flush := process.NewDroppingLogger(stdout, level)
	defer flush(logFlushTimeout)
	if err := run(logger); err != nil {
		logger.Error().Err(err).Msg(name + ": cannot start")
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	return ExitOK
}

// Listen listens on a TCP address.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{}
	return config.Listen(context.Background(), "tcp", address)
}

// FileLimit returns the limit of open files of the process divided by part.
func FileLimit(part uint64) (int, error) {
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("limit of open files: %w", err)
	}
	return int(min(limit.Cur/part, math.MaxInt32)), nil
}
