// Package model simulates a pool in virtual time: its workers, its store, its callers and faults, around the
// unchanged decisions of package pool. A workload file describes the arriving jobs and the faults. The same file,
// settings and seed give the same outcome on every machine.
//
// The model leaves out the memory and processor time of hollyfork's own processes, lost connections between them,
// policies of queues, recurring and long-running jobs, and evacuations. A takeover is a pause, after which the next
// holder restores the pool from its rows in the store.
package model
