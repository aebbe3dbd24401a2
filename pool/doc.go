// Package pool decides for a pool of workers: which job's tasks run where and when, and
// what is written to the store before anything is ordered or told.
//
// A Core is a state machine without input or output. It is told of accepted jobs, agents'
// reports, results of orders and outcomes of commits, and yields orders and batches of
// rows. The present time is an argument of all that decides. Package holder runs it.
package pool
