package pool

import (
	"fmt"
	"strings"
	"time"
)

// Reasons not to place a task of a group on a worker.
const (
	objectionNone objection = iota
	// The group prefers other workers; a later reason is stronger.
	objectionUnproven
	objectionRack
	objectionFailed
	objectionProbation
	objectionCoLocated
	objectionOtherTrial
	objectionIsolated
	objectionQuarantined
	// The worker does not meet a requirement of the group, has no capacity for it, or gets no work at all.
	objectionUnknown
	objectionNotReady
	objectionDraining
	objectionEvacuated
	objectionSilent
	objectionLabel
	objectionTicket
	objectionInterferes
	objectionRefused
	objectionSlow
	objectionCapacity
	objectionMaxPerWorker
	objectionWithheld
)

// objection is the reason why a task of a group is not placed on a worker.
type objection int

var objectionNames = map[objection]string{
	objectionNone:         "would take it",
	objectionUnknown:      "not known yet",
	objectionNotReady:     "not ready",
	objectionDraining:     "draining",
	objectionEvacuated:    "evacuated",
	objectionSilent:       "silent",
	objectionQuarantined:  "set aside",
	objectionCoLocated:    "run other work, beside which it is not to run",
	objectionOtherTrial:   "not tried while another task of the job is",
	objectionIsolated:     "left alone with a task under which workers crash",
	objectionLabel:        "without the label",
	objectionRack:         "away from its data",
	objectionTicket:       "without a ticket",
	objectionInterferes:   "run what it must not share a worker with",
	objectionRefused:      "refused it just now",
	objectionSlow:         "slow",
	objectionFailed:       "failed it before",
	objectionProbation:    "on trial",
	objectionUnproven:     "not proven",
	objectionCapacity:     "without room",
	objectionMaxPerWorker: "have their share of its step",
	objectionWithheld:     "with room that is kept or held for others",
}

// describe formats the number of workers by objection.
func describe(counts map[objection]int) string {
	var parts []string
	for o := objectionNone; o <= objectionWithheld; o++ {
		if counts[o] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[o], objectionNames[o]))
		}
	}
	return strings.Join(parts, ", ")
}

// currentObjection returns the reason why a group is not placed on a worker at present, capacity included.
func (p *pass) currentObjection(g *group, w *worker, available capacityBySlot) objection {
	if !p.inPass(w) {
		return w.objection(p.now, p.core.settings)
	}
	if o := p.unmetRequirement(g, w); o != objectionNone {
		return o
	}
	if !p.preferencesLifted(g, w) {
		return p.unmetPreference(g, w)
	}
	if o := p.isolationObjection(g, w, p.free[w.slot]); !g.relaxation.lifts(o, w) {
		return o
	}
	switch {
	case p.free[w.slot].FitCount(g.taskShape) == 0:
		return objectionCapacity
	case p.tasksThatFit(g, w, p.free[w.slot]) == 0:
		return objectionMaxPerWorker
	case p.tasksThatFit(g, w, available[w.slot]) == 0:
		return objectionWithheld
	}
	return objectionNone
}

// objection returns the reason why the worker gets no work at all, if any.
func (w *worker) objection(now time.Time, s Settings) objection {
	switch {
	case w.instance.IsZero() || w.listing == 0:
		return objectionUnknown
	case w.notReady:
		return objectionNotReady
	case w.draining:
		return objectionDraining
	case w.evacuated:
		return objectionEvacuated
	case now.Sub(w.lastReplyAt) > s.FreshFor:
		return objectionSilent
	}
	return objectionNone
}
