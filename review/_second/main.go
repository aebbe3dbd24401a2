// Command second plays the cases of the second review: it starts the deployed programs as separate processes beside
// small stand-ins of the platform's store, the workers and the callers, applies one disruption, and judges one rule by
// what the stand-ins have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// timeLimit ends a case that does not end by itself.
const timeLimit = 115 * time.Second

// cases maps the name of each case to the function that plays it. The function returns the violations of the rule.
var cases = map[string]func(p *play) []string{
	"large-orders":  playLargeOrders,
	"moved-queue":   playMovedQueue,
	"late-accept":   playLateAccept,
	"starved-queue": playStarvedQueue,
	"new-policy":    playNewPolicy,
}

func main() {
	// Child processes are killed when the thread that started them ends, so all of them are started by this one.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file to write the record to")
	trouble := flag.Bool("trouble", true, "whether to apply the disruption")
	flag.Parse()
	os.Exit(run(*name, *root, *recordPath, *trouble))
}

func run(name, root, recordPath string, trouble bool) (code int) {
	playCase, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	p, err := newPlay(rec, root, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer p.close()
	time.AfterFunc(timeLimit, func() {
		rec.log("could not run: not finished after %s", timeLimit)
		rec.close()
		os.Exit(exitFailed)
	})
	defer func() {
		if failure := recover(); failure != nil {
			rec.log("could not run: %v", failure)
			fmt.Fprintln(os.Stderr, "could not run:", failure)
			code = exitFailed
		}
	}()
	violations := playCase(p)
	for _, v := range violations {
		rec.log("VIOLATION %s", v)
		fmt.Println("VIOLATION", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
