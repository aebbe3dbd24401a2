// Package agent implements the agent, a process that runs next to each backend server. On request of the hall's
// holder it reserves accelerators for gangs and starts and stops tasks on the server's worker. It also renews the
// leases of these tasks and reports how they end. Package sidecar is its counterpart in a pool.
//
// Core is the state machine. It does no input or output and gets the present time as an argument. Agent runs a Core
// as an actor, does the input and output, and serves the holder over RPC.
//
// An agent has no persistent state. After a restart it has a new incarnation, and lists the tasks that run on its
// worker, which keeps running when the agent stops.
package agent
