// Package sidecar implements the agent, the process beside a worker. The agent acknowledges the worker's heartbeats
// and polls the worker. It extends the worker's lease for as long as the holder of the pool renews the agent's own
// lease. It carries out the holder's orders, and reports to the holder the worker's runs and how they ended.
// Package agent is its counterpart in a hall.
//
// Core is the state of an agent; it does no input or output and takes the present time as an argument. Agent runs a
// Core.
package sidecar
