// Command third plays the script cases of the third review: a small deployment of separate processes on loopback
// addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

// outcome is how a case ended, and its exit code.
type outcome int

const (
	held outcome = iota
	broken
	couldNotRun
)

var outcomeNames = map[outcome]string{held: "the rule held", broken: "THE RULE WAS BROKEN", couldNotRun: "the case could not run"}

type reviewCase struct {
	play func(d *deployment, trouble bool) outcome
	// quiet leaves single starts and ends of tasks out of the record.
	quiet bool
	// lastKind is the kind of the last worker.
	lastKind string
}

func main() {
	const usage = 4
	if len(os.Args) != usage {
		fmt.Println("usage: third CASE TARGET RECORD")
		os.Exit(int(couldNotRun))
	}
	os.Exit(int(run(os.Args[1], os.Args[2], os.Args[3])))
}

func run(name, target, path string) outcome {
	c, known := cases[name]
	r, err := newRecord(path)
	if !known || err != nil {
		fmt.Println("no such case, or no record:", name, err)
		return couldNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", name, trouble)
	d, err := start(target, r, c.quiet, c.lastKind)
	if d != nil {
		defer d.stop()
	}
	result := couldNotRun
	if err == nil {
		result = playInTime(d, c, trouble)
	} else {
		r.add("cannot start: %v", err)
	}
	r.add("%s", outcomeNames[result])
	fmt.Println(name+":", outcomeNames[result])
	return result
}

// playInTime plays a case. It gives up when the process is told to end, or when the case takes too long.
func playInTime(d *deployment, c reviewCase, trouble bool) outcome {
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan outcome, 1)
	go func() { done <- c.play(d, trouble) }()
	select {
	case result := <-done:
		return result
	case <-ends:
	case <-time.After(maxLength):
	}
	return couldNotRun
}
