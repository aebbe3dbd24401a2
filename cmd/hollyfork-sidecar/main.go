// Command hollyfork-sidecar is the agent beside a worker.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program/sidecard"
)

func main() {
	os.Exit(sidecard.Main(os.Args[1:], os.Stdout, os.Stderr))
}
