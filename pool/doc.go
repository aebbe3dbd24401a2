// Package pool makes the scheduling decisions for one pool of workers: which tasks run where and when,
// and which rows are committed to the store before an order is sent or a result is reported.
//
// A Core is a state machine that does no I/O. Its inputs are accepted jobs, reports of agents, results
// of orders and outcomes of commits; its outputs are orders for agents and batches of rows. Methods
// that depend on the time take it as an argument. Package holder runs a Core.
package pool
