package gatewayd

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/malformed"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/process"
)

// State is the state of the process as operators see it.
type State struct {
	ConfigVersion uint64        `json:"config_version"`
	ConfigAge     time.Duration `json:"config_age_ns"`
	// Evacuated are the evacuated data centres, in which no runs may be started.
	Evacuated []string `json:"evacuated,omitempty"`
	// ConfigSource describes the source of the configuration: the store or a relay.
	ConfigSource string `json:"config_from"`
	Ready        bool   `json:"ready"`
	Stopping     bool   `json:"stopping"`
	// Malformed are the rows that this process could not decode.
	Malformed []malformed.Entry `json:"malformed,omitempty"`
	// Pools are the pools that this process holds.
	Pools []pool.Snapshot `json:"pools"`
}

func (p *gatewayProcess) dump() any {
	now := clock.Now()
	return State{
		ConfigVersion: p.follower.Catalog().Version,
		ConfigAge:     p.follower.Age(now),
		Evacuated:     p.follower.Evacuations().DataCentres(),
		ConfigSource:  p.configSource(),
		Ready:         p.gateway.Ready(now),
		Stopping:      p.gateway.Stopping(),
		Malformed:     p.malformed.List(),
		Pools:         p.heldPools(),
	}
}

// configSource describes the source of the configuration.
func (p *gatewayProcess) configSource() string {
	if p.relay == nil {
		return "from the store"
	}
	return p.relay.Feed().Summary()
}

// freeByReason maps each reason for which accelerators are free to the count of such accelerators.
var freeByReason = map[string]func(pool.FreeAccelerators) int{
	"open":        func(f pool.FreeAccelerators) int { return f.Open },
	"kept":        func(f pool.FreeAccelerators) int { return f.Headroom },
	"held":        func(f pool.FreeAccelerators) int { return f.Reserved },
	"promised":    func(f pool.FreeAccelerators) int { return f.Promised },
	"left_alone":  func(f pool.FreeAccelerators) int { return f.Isolated },
	"on_trial":    func(f pool.FreeAccelerators) int { return f.OnProbation },
	"set_aside":   func(f pool.FreeAccelerators) int { return f.Quarantined },
	"unavailable": func(f pool.FreeAccelerators) int { return f.Unavailable },
}

// addLackingGauge adds a gauge of the accelerators that workers reported earlier and do not report now.
func (p *gatewayProcess) addLackingGauge() {
	p.metrics.NewGauge("hollyfork_pool_accelerators_lacking", func() float64 {
		lacking := 0
		for _, snapshot := range p.heldPools() {
			lacking += snapshot.MissingAccelerators
		}
		return float64(lacking)
	})
}

// addPaceGauges adds gauges of the spread of the workers' paces and of the number of slow workers.
func (p *gatewayProcess) addPaceGauges() {
	p.metrics.NewGauge("hollyfork_pool_workers_slow", func() float64 {
		slow := 0
		for _, snapshot := range p.heldPools() {
			for _, w := range snapshot.Workers {
				if w.Slow {
					slow++
				}
			}
		}
		return float64(slow)
	})
	p.metrics.NewGauge("hollyfork_pool_pace_spread", func() float64 {
		spread := 0.0
		for _, snapshot := range p.heldPools() {
			spread = max(spread, snapshot.PaceSpread)
		}
		return spread
	})
}

// addFreeGauges adds a gauge of free accelerators for each reason.
func (p *gatewayProcess) addFreeGauges() {
	for reason, count := range freeByReason {
		p.metrics.NewGauge(fmt.Sprintf("hollyfork_pool_accelerators_free{reason=%q}", reason), func() float64 {
			free := 0
			for _, snapshot := range p.heldPools() {
				free += count(snapshot.Free)
			}
			return float64(free)
		})
	}
}

// writeQueueMetrics writes the metrics of the queues of the held pools. They are not registered as gauges, because
// the set of queues changes with the configuration.
func (p *gatewayProcess) writeQueueMetrics(w io.Writer) {
	for _, snapshot := range p.heldPools() {
		for _, q := range snapshot.Queues {
			labels := fmt.Sprintf("pool=%q,queue=%q", snapshot.Pool, q.Queue)
			metrics.WriteGaugeFloat64(w, "hollyfork_queue_service_level{"+labels+"}", q.Level)
			for state, count := range map[string]int{"waiting": q.Waiting, "overdue": q.Overdue} {
				metrics.WriteGaugeUint64(w, fmt.Sprintf("hollyfork_queue_jobs{%s,state=%q}", labels, state), uint64(count)) // #nosec G115 -- a count
			}
			for outcome, count := range map[string]int{"in_time": q.InTime, "late": q.Late, "failed": q.Failed, "cancelled": q.Cancelled} {
				metrics.WriteCounterUint64(w, fmt.Sprintf("hollyfork_queue_jobs_ended_total{%s,outcome=%q}", labels, outcome), uint64(count)) // #nosec G115 -- a count
			}
		}
	}
}

func (p *gatewayProcess) serveAdmin(listener net.Listener) {
	if listener == nil {
		return
	}
	p.addGauges()
	go process.NewAdmin(p.dump, p.metrics).Serve(listener)
}

// addGauges adds the gauges, whose values are computed when the metrics are read.
func (p *gatewayProcess) addGauges() {
	p.metrics.NewGauge("hollyfork_gateway_ready", func() float64 {
		if p.gateway.Ready(clock.Now()) {
			return 1
		}
		return 0
	})
	p.metrics.NewGauge("hollyfork_gateway_config_version", func() float64 { return float64(p.follower.Catalog().Version) })
	p.metrics.NewGauge("hollyfork_gateway_config_age_seconds", func() float64 { return p.follower.Age(clock.Now()).Seconds() })
	p.metrics.NewGauge("hollyfork_gateway_data_centres_evacuated", func() float64 { return float64(len(p.follower.Evacuations().DataCentres())) })
	p.metrics.NewGauge("hollyfork_pools_held", func() float64 { return float64(len(p.heldPools())) })
	p.metrics.NewGauge("hollyfork_pool_jobs_waiting", func() float64 {
		waiting := 0
		for _, snapshot := range p.heldPools() {
			for _, n := range snapshot.Waiting {
				waiting += n
			}
		}
		return float64(waiting)
	})
	p.metrics.NewGauge("hollyfork_pool_workers_usable", func() float64 {
		usable := 0
		for _, snapshot := range p.heldPools() {
			for _, w := range snapshot.Workers {
				if w.Usable {
					usable++
				}
			}
		}
		return float64(usable)
	})
	p.addFreeGauges()
	p.addLackingGauge()
	p.addPaceGauges()
	p.metrics.RegisterMetricsWriter(p.writeQueueMetrics)
	p.metrics.NewGauge("hollyfork_gateway_relay", func() float64 {
		if p.relay != nil && p.relay.Feed().IsRelay() {
			return 1
		}
		return 0
	})
	p.metrics.NewGauge("hollyfork_rpc_received_bytes_total", func() float64 { return float64(p.traffic.BytesIn.Load()) })
	p.metrics.NewGauge("hollyfork_rpc_sent_bytes_total", func() float64 { return float64(p.traffic.BytesOut.Load()) })
}
