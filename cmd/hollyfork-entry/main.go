// Command hollyfork-entry serves the resource API to callers and operators.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program"
)

func main() {
	os.Exit(program.Entry(os.Args[1:], os.Stdout, os.Stderr))
}
