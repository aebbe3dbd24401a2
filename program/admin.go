package program

import (
	"github.com/VictoriaMetrics/metrics"

	"hollyfork.example/hollyfork/process"
	"hollyfork.example/hollyfork/process/launch"
)

// startAdmin serves the state and metrics of a process at an address. If the address is empty, nothing is served.
func startAdmin(address string, dump func() any, set *metrics.Set) (*process.Admin, error) {
	admin := process.NewAdmin(dump, set)
	if address == "" {
		return admin, nil
	}
	listener, err := launch.Listen(address)
	if err != nil {
		return nil, err
	}
	go admin.Serve(listener)
	return admin, nil
}
