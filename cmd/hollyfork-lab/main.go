// Command hollyfork-lab simulates workloads in virtual time with the scheduling decisions of hollyfork's pools, and
// compares settings.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program/lab"
)

func main() {
	os.Exit(lab.Main(os.Args[1:], os.Stdout, os.Stderr))
}
