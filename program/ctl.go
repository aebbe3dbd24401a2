package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/client"
	"hollyfork.example/hollyfork/declare"
	"hollyfork.example/hollyfork/process/launch"
)

// Exit codes of hollyforkctl, in addition to those of all programs.
const (
	// exitRefused means that the request was rejected and that repeating it does not help.
	exitRefused = 1
	// exitRetry means that the system cannot serve the request at the moment and that it may be repeated later.
	exitRetry = 3
	// exitConflict means that the resource changed after it was read, and has to be read again.
	exitConflict = 4
)

const defaultServer = "http://127.0.0.1:7400"

// ctl is one run of hollyforkctl.
type ctl struct {
	server string
	output string
	stdout io.Writer
	stderr io.Writer
	stdin  io.Reader
}

// usageError is the error for an invalid command line.
type usageError struct {
	reason string
}

func (e usageError) Error() string {
	return e.reason
}

func usageErrorf(format string, args ...any) error {
	return usageError{reason: fmt.Sprintf(format, args...)}
}

// Ctl is the main function of hollyforkctl.
func Ctl(args []string, stdout, stderr io.Writer) int {
	c := &ctl{stdout: stdout, stderr: stderr, stdin: os.Stdin}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := c.command().ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return launch.ExitOK
	case errors.Is(err, flag.ErrHelp):
		return launch.ExitOK
	}
	_, _ = fmt.Fprintln(stderr, describeError(err))
	return exitCode(err)
}

func describeError(err error) string {
	var failure *api.Error
	if !errors.As(err, &failure) {
		return err.Error()
	}
	text := failure.Error()
	if seconds := failure.RetryAfterSeconds(); seconds > 0 {
		text += fmt.Sprintf(" (repeat after %d s)", seconds)
	}
	return text
}

func exitCode(err error) int {
	var usageErr usageError
	var declaration *declare.Error
	if errors.As(err, &usageErr) || errors.As(err, &declaration) {
		return launch.ExitUsage
	}
	var failure *api.Error
	if !errors.As(err, &failure) {
		return launch.ExitFailure
	}
	switch failure.Kind {
	case api.KindPreconditionFailed, api.KindPreconditionRequired:
		return exitConflict
	case client.KindUnreachable:
		return exitRetry
	}
	if failure.RetryAfter > 0 {
		return exitRetry
	}
	return exitRefused
}

func (c *ctl) client() *client.Client {
	return client.New(c.server)
}

// command returns the root command with all subcommands.
func (c *ctl) command() *ffcli.Command {
	flags := flag.NewFlagSet("hollyforkctl", flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	flags.StringVar(&c.server, "server", defaultServer, "base URL of an entry, or HOLLYFORK_SERVER")
	flags.StringVar(&c.output, "o", outputTable, "table, json or yaml")
	return &ffcli.Command{
		Name:       "hollyforkctl",
		ShortUsage: "hollyforkctl [-server URL] [-o table|json|yaml] COMMAND",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("HOLLYFORK")},
		Subcommands: []*ffcli.Command{
			c.applyCommand(),
			c.getCommand(),
			c.submitCommand(),
			c.watchCommand(),
			c.cancelCommand(),
			c.explainCommand(),
			c.drainCommand("drain", true),
			c.drainCommand("undrain", false),
			c.configCommand(),
			c.poolsCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageErrorf("no such command: %s", args[0])
			}
			return flag.ErrHelp
		},
	}
}

// flagSet returns the flags of a command.
func (c *ctl) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet("hollyforkctl "+name, flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	return flags
}

// singleArg returns the argument if there is exactly one.
func singleArg(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usageErrorf("name one %s", what)
	}
	return args[0], nil
}
