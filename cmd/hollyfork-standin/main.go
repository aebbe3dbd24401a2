// Command hollyfork-standin replaces the platform and its workers in tests.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program"
)

func main() {
	os.Exit(program.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
