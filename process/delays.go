package process

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"hollyfork.example/hollyfork/clock"
)

var (
	delayCount   = metrics.NewCounter("hollyfork_process_delays_total")
	delaySeconds = metrics.NewFloatCounter("hollyfork_process_delays_seconds_total")
)

// LogDelays logs and counts the delays of the process until ctx is done. The lines begin with the program's name.
func LogDelays(ctx context.Context, program string, logger *log.Logger) {
	clock.WatchDelays(ctx, clock.System{}, func(d clock.Delays) {
		delayCount.Add(d.Count)
		delaySeconds.Add(d.Total.Seconds())
		logger.Warn().Int("times", d.Count).Dur("longest", d.Longest).Dur("total", d.Total).Dur("suspended", d.Suspended).Msg(program + ": process ran late")
	})
}
