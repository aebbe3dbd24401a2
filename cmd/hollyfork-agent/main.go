// Command hollyfork-agent runs beside each backend server and may hold its hall.
package main

import (
	"os"

	"hollyfork.example/hollyfork/program"
)

func main() {
	os.Exit(program.Agent(os.Args[1:], os.Stdout, os.Stderr))
}
