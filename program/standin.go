package program

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/platform/standin"
	"hollyfork.example/hollyfork/process/launch"
	"hollyfork.example/hollyfork/settings"
)

// Standin is the main function of hollyfork-standin, which replaces the platform and the workers in tests.
func Standin(args []string, stdout, stderr io.Writer) int {
	s := settings.New("hollyfork-standin", stderr)
	address := settings.Add(s, "standin.listen", "", "IP address and port", settings.Address)
	file := settings.Add(s, "standin.vms", "", "JSON file with the list of VMs", settings.Text)
	lag := settings.Add(s, "standin.lag", "0s", "delay with which the list of VMs shows changes", settings.Duration(0, time.Hour))
	if code, done := launch.Parse(s, args, stdout, stderr); done {
		return code
	}
	vms, err := readVMs(*file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitUsage
	}
	listener, err := launch.Listen(*address)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return launch.ExitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: standin.New(vms, *lag), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	<-ctx.Done()
	_ = server.Close()
	return launch.ExitOK
}

func readVMs(file string) ([]platform.VM, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var vms []platform.VM
	if err := json.Unmarshal(content, &vms); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return vms, nil
}
