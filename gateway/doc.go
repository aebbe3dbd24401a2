// Package gateway serves the requests of callers: it accepts jobs, reports their states and cancels them. A job
// is accepted when its row is committed to the platform's store, which needs no holder of a pool. Every answer
// is read from the store.
package gateway
