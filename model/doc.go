// Package model plays a pool in virtual time: its workers, its store, its callers and what goes wrong, around the
// decisions of package pool as they are. A workload file says what arrives and what fails; the same file, settings and
// seed give the same outcome on every machine.
//
// What the model leaves out: the memory and processor time of hollyfork's own processes, lost connections between them,
// policies of queues, jobs that repeat or last, and evacuations. A takeover is a pause after which the pool is read
// anew.
package model
