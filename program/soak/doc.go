// Package soak runs the programs as separate processes and does harm to them from outside,
// in random series that overlap: connections that are delayed, muted one way or both, or
// reset; processes that are killed, paused, stopped and started again; workers that restart,
// fall silent, fail what they start or leave starts unanswered; another writer that leaves heartbeats, rows
// and configurations which nobody can read; a store that refuses, loses answers, is late or slow, or forgets its
// history. Meanwhile it hands jobs in, and checks what callers and workers see.
//
// Run seeds by hand with
//
//	go test ./program/soak -run Seeds -seeds 50 -first 1000
package soak
