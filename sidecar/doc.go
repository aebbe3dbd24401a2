// Package sidecar is the agent beside a worker. It acknowledges the worker's heartbeats,
// keeps the worker's lease up for as long as the pool's holder lets it, carries out the
// holder's orders and tells it what the worker runs and how runs ended.
//
// Core is its state, without input or output and with the present time as an argument;
// Agent runs it.
package sidecar
