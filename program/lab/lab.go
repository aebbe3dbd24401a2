// Package lab implements the program hollyfork-lab, which simulates workload files in virtual time and compares
// settings on them.
package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hollyfork.example/hollyfork/model"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process/launch"
)

const (
	// defaultSeeds and maxSeeds are the default and largest number of simulations per workload.
	defaultSeeds = 8
	maxSeeds     = 10_000
)

type (
	// lab holds the streams and flags of one run of the program.
	lab struct {
		stdout, stderr io.Writer

		seeds           int
		firstSeed       uint64
		randomWorkloads int
		changes         string
		csvPath         string
	}

	// usageError reports an invalid command line.
	usageError struct {
		reason string
	}
)

func (e usageError) Error() string {
	return e.reason
}

// Main is the main function of hollyfork-lab.
func Main(args []string, stdout, stderr io.Writer) int {
	l := &lab{stdout: stdout, stderr: stderr}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := l.command().ParseAndRun(ctx, args)
	var usage usageError
	var failure *model.Error
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return launch.ExitOK
	case errors.As(err, &usage), errors.As(err, &failure) && failure.Kind == model.KindSetting:
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitFailure
	}
}

func (l *lab) command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "hollyfork-lab",
		ShortUsage: "hollyfork-lab <play|compare> [flags] [FILE...]",
		ShortHelp:  "play workloads in virtual time",
		FlagSet:    flag.NewFlagSet("hollyfork-lab", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			{
				Name:       "play",
				ShortUsage: "hollyfork-lab play [-seeds N] [-set name=value,...] FILE...",
				ShortHelp:  "say what becomes of workloads, beside what no decisions can exceed",
				FlagSet:    l.flags("play"),
				Exec:       l.play,
			},
			{
				Name:       "compare",
				ShortUsage: "hollyfork-lab compare [-seeds N] [-random N] -set name=value,... [FILE...]",
				ShortHelp:  "compare settings with the defaults, on the same workloads and seeds",
				FlagSet:    l.flags("compare"),
				Exec:       l.compare,
			},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (l *lab) flags(name string) *flag.FlagSet {
	set := flag.NewFlagSet("hollyfork-lab "+name, flag.ContinueOnError)
	set.SetOutput(l.stderr)
	set.IntVar(&l.seeds, "seeds", defaultSeeds, "number of simulations of each workload file, each with another seed")
	set.Uint64Var(&l.firstSeed, "first-seed", 1, "the first seed")
	set.IntVar(&l.randomWorkloads, "random", 0, "number of random workloads, in addition to the files")
	set.StringVar(&l.changes, "set", "", "comma-separated settings that differ from the defaults")
	set.StringVar(&l.csvPath, "csv", "", "file for the figures, with a line for each workload and seed")
	return set
}

// cases returns each workload file with each seed, and each random workload with its own seed.
func (l *lab) cases(files []string) ([]namedCase, error) {
	if l.seeds < 1 || l.seeds > maxSeeds || l.randomWorkloads < 0 || l.randomWorkloads > maxSeeds {
		return nil, usageError{fmt.Sprintf("-seeds is to be from 1 to %d, -random from 0 to %d", maxSeeds, maxSeeds)}
	}
	var cases []namedCase
	for _, name := range files {
		content, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		workload, err := model.ParseWorkload(content)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		for i := range l.seeds {
			cases = append(cases, namedCase{name: name, Case: model.Case{Workload: workload, Seed: l.firstSeed + uint64(i)}})
		}
	}
	for i := range l.randomWorkloads {
		seed := l.firstSeed + uint64(i)
		cases = append(cases, namedCase{name: "random", Case: model.Case{Workload: model.RandomWorkload(seed), Seed: seed}})
	}
	if len(cases) == 0 {
		return nil, usageError{"name a workload file, or -random N"}
	}
	return cases, nil
}

// settings returns the default settings and, as the second result, those with the changes of the command line.
func (l *lab) settings() (before, after pool.Settings, err error) {
	before = pool.DefaultSettings()
	after = before
	if l.changes == "" {
		return before, after, nil
	}
	for part := range strings.SplitSeq(l.changes, ",") {
		if after, err = model.WithSetting(after, strings.TrimSpace(part)); err != nil {
			return before, after, err
		}
	}
	return before, after, nil
}

// progress returns a function that writes the number of completed simulations to the error output. Several
// goroutines may call it at once.
func (l *lab) progress(of int) func() {
	var mu sync.Mutex
	count := 0
	return func() {
		mu.Lock()
		defer mu.Unlock()
		count++
		_, _ = fmt.Fprintf(l.stderr, "\r%d of %d", count, of)
	}
}
