// Command hollyforkctl is the command-line client for operators and callers.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program"
)

func main() {
	os.Exit(program.Ctl(os.Args[1:], os.Stdout, os.Stderr))
}
