// Command hollyfork-gateway serves the requests of callers and may hold pools of workers.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program/gatewayd"
)

func main() {
	os.Exit(gatewayd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
