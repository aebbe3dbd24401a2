// Command hollyfork-dev runs the whole system in one process, on a stand-in for the platform, to try the system out.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program"
)

func main() {
	os.Exit(program.Dev(os.Args[1:], os.Stdout, os.Stderr))
}
