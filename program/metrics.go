package program

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/rpc"
	"hollyfork.example/wire"
)

// addTrafficMetrics adds the counters of the RPC traffic between processes.
func addTrafficMetrics(set *metrics.Set, traffic *rpc.Traffic) {
	set.NewGauge("hollyfork_rpc_received_bytes_total", func() float64 { return float64(traffic.BytesIn.Load()) })
	set.NewGauge("hollyfork_rpc_sent_bytes_total", func() float64 { return float64(traffic.BytesOut.Load()) })
	set.NewGauge("hollyfork_rpc_requests_total", func() float64 { return float64(traffic.Requests.Load()) })
}

// addHallMetrics adds the metrics of a hall. All of them are 0 in a process that does not hold its hall.
func addHallMetrics(set *metrics.Set, state func() (hall.State, bool)) {
	gauge := func(name string, value func(hall.State) float64) {
		set.NewGauge(name, func() float64 {
			s, ok := state()
			if !ok {
				return 0
			}
			return value(s)
		})
	}
	gauge("hollyfork_hall_held", func(hall.State) float64 { return 1 })
	gauge("hollyfork_hall_store_available", func(s hall.State) float64 {
		if s.StoreAvailable {
			return 1
		}
		return 0
	})
	gauge("hollyfork_hall_config_version", func(s hall.State) float64 { return float64(s.ConfigVersion) })
	gauge("hollyfork_hall_uncommitted_jobs", func(s hall.State) float64 { return float64(s.Uncommitted) })
	gauge("hollyfork_hall_guaranteed_accelerators_short", func(s hall.State) float64 { return float64(s.Shortage) })
	gauge("hollyfork_hall_workers_set_aside", func(s hall.State) float64 { return float64(len(s.Quarantined)) })
	for value, name := range wire.JobState_Value_name {
		gauge(fmt.Sprintf(`hollyfork_hall_jobs{state=%q}`, name), func(s hall.State) float64 {
			return float64(s.Jobs[wire.JobState_Value(value).String()])
		})
	}
}
