// Package gateway answers callers: it accepts jobs, tells where they stand and cancels
// them. A job is accepted when its row is in the platform's store; no holder is needed for
// that, and whatever is told is read from the store.
package gateway
