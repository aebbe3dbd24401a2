// Command standin plays the cases of the review that are scripts: it starts the project's programs as separate
// processes on loopback addresses, takes the place of the platform, its workers and its clients, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2

	// longestRun bounds a whole case.
	longestRun = 115 * time.Second
)

// scenario is a case. It returns an error if it couldn't run.
type scenario struct {
	config string
	play   func(d *deployment, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"wide":      {config: config(), play: playWide},
	"guarantee": {config: config(), play: playGuarantee},
	"heartbeat": {config: config(), play: playHeartbeat},
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file that lists what was sent, answered and run")
	keep := flag.String("logs", "", "folder for the logs of the processes; empty to drop them")
	flag.Parse()
	s, known := scenarios[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNoRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("check", "case %s, trouble %v", *name, trouble)
	d, err := deploy(r, s.config)
	defer d.stop(*keep)
	if err != nil {
		r.say("check", "the case couldn't run: %v", err)
		return exitNoRun
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := s.play(d, trouble)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		return report(r, o.broken, o.err)
	case <-signals:
		return report(r, false, fmt.Errorf("interrupted"))
	case <-time.After(longestRun):
		return report(r, false, fmt.Errorf("it took too long"))
	}
}

func report(r *record, broken bool, err error) int {
	switch {
	case err != nil:
		r.say("check", "the case couldn't run: %v", err)
		return exitNoRun
	case broken:
		r.say("check", "the rule was BROKEN")
		return exitBroken
	default:
		r.say("check", "the rule held")
		return exitHeld
	}
}
