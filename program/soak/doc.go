// Package soak runs the programs as separate processes and injects faults from outside, in random sequences that
// overlap: connections that are delayed, reset, or blackholed in one or both directions, some of them for good;
// processes that are killed, paused, stopped and launched again; workers that restart, crash, drain, become
// unresponsive, change their capacity, fail runs or leave starts unanswered; heartbeats, rows and configurations that
// can't be decoded; a store that refuses requests, loses answers, is late or slow, or loses its change history.
// Meanwhile it submits jobs, and checks what callers and workers observe.
//
// To run more seeds:
//
//	go test ./program/soak -run Seeds -seeds 50 -first 1000
//
// TestCuts cuts agents, workers and gateways off from each other for around the length of the leases, and pauses holders
// beside. With -relays=false, a holder that is cut off from the store has no other way to it.
//
// In TestSeries the faults come in series, beside orders to workers that are carried out late. With more processes:
//
//	go test ./program/soak -run Series -first 1000 -gateways 8 -workers 180
//
// In TestNoSecondRunBesideRestartedAgents agents are restarted in series, and their workers leave calls unanswered.
package soak
