package model

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/store"
)

// loseHolder ends the current holder. Another one takes over the pool after a delay.
func (sim *simulation) loseHolder(takeoverDelay time.Duration) {
	sim.noHolder = true
	sim.epoch++
	epoch := sim.epoch
	sim.after(takeoverDelay, func() {
		if sim.epoch == epoch {
			sim.takeOver()
		}
	})
}

// takeOver starts a new holder, which restores the pool from its rows alone.
func (sim *simulation) takeOver() {
	sim.epoch++
	sim.noHolder = false
	sim.core = pool.New(poolName, sim.settings, nil)
	for _, w := range sim.workers {
		sim.core.AddAgent(sim.now, w.name)
	}
	keys := slices.SortedFunc(maps.Keys(sim.rows), func(a, b store.Key) int { return strings.Compare(a.Name, b.Name) })
	for _, key := range keys {
		if key.Table == pool.IntakeTable {
			sim.restoreJob(sim.rows[key])
		}
	}
	for _, key := range keys {
		if key.Table != pool.StateTable {
			continue
		}
		if err := sim.core.RestoreState(sim.now, sim.rows[key]); err != nil {
			sim.err = &Error{Op: "restore a state", Kind: KindRow, Err: err}
		}
	}
	sim.decideSoon()
}

func (sim *simulation) restoreJob(row store.Row) {
	item, err := pool.DecodeIntake(row, pool.Clock{Now: sim.now, Store: sim.storeClock()})
	if err != nil {
		sim.err = &Error{Op: "restore a job", Kind: KindRow, Err: err}
		return
	}
	if j, ok := item.(pool.NewJob); ok {
		sim.core.AddJob(sim.now, j)
	}
}

// decideSoon schedules the holder's next decision, at least decideInterval after the last one.
func (sim *simulation) decideSoon() {
	if sim.decisionPending {
		return
	}
	sim.decisionPending = true
	sim.after(max(0, sim.lastDecision.Add(decideInterval).Sub(sim.now)), sim.decide)
}

// decide runs one round of the holder: it advances the pool's time, decides, sends orders and commits.
func (sim *simulation) decide() {
	sim.decisionPending = false
	sim.lastDecision = sim.now
	if sim.noHolder {
		return
	}
	sim.core.Tick(sim.now)
	sim.core.Decide(sim.now)
	sim.sendOrders()
	sim.commit()
}

// sendOrders sends the due orders to agents, and their results back to the holder.
func (sim *simulation) sendOrders() {
	list := sim.core.TakeOrders(sim.now)
	slices.SortFunc(list, func(a, b pool.Orders) int { return strings.Compare(a.Agent, b.Agent) })
	for _, orders := range list {
		sim.afterForHolder(orderDelay, func() {
			results := sim.workersByName[orders.Agent].execute(orders)
			sim.afterForHolder(resultDelay, func() {
				sim.core.HandleResults(sim.now, orders, results)
				sim.decideSoon()
			})
		})
	}
}

// commit commits the pool's changes to the store. If the holder is lost before the store applies them, they are
// dropped.
func (sim *simulation) commit() {
	batch := sim.core.TakeBatch()
	if batch == nil {
		return
	}
	latency := sim.storeLatency()
	epoch := sim.epoch
	sim.after(latency, func() {
		if sim.storeSilent() {
			sim.afterForHolder(commitTimeout-latency, sim.core.BatchFailed)
			return
		}
		if sim.epoch == epoch {
			sim.applyBatch(batch)
		}
	})
}

func (sim *simulation) applyBatch(batch *pool.Batch) {
	sim.version++
	for _, w := range batch.Writes {
		if w.Delete {
			delete(sim.rows, w.Key)
			continue
		}
		row := store.Row{Key: w.Key, Value: w.Value, Version: sim.version}
		sim.rows[w.Key] = row
		sim.recordState(row)
	}
	sim.core.BatchCommitted(sim.now)
	for _, name := range sim.core.TakeCommittedChanged() {
		id, committed := sim.core.Committed(name)
		sim.workersByName[name].dropCommitted(id, committed)
	}
	sim.sendOrders()
	sim.decideSoon()
}

// recordState records the end of a job, once callers can read it from the store.
func (sim *simulation) recordState(row store.Row) {
	o := sim.jobs[job.ID(lastSegment(row.Key.Name))]
	if o == nil || row.Key.Table != pool.StateTable {
		return
	}
	state, err := pool.StateOf(row)
	if err != nil {
		sim.err = &Error{Op: "read a state", Kind: KindRow, Err: err}
		return
	}
	o.recordEnd(state, sim.storeClock())
}

func lastSegment(name string) string {
	return name[strings.LastIndexByte(name, '/')+1:]
}
