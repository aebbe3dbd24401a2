// Package hall implements the scheduler of one hall, which decides which of its jobs run where, and when.
//
// One process at a time holds the hall. The holder's lease is a row in the platform's table service. Each
// transaction of a holder replaces that row, so a holder whose lease has been taken by another process can
// no longer write anything, however long it was paused.
//
// Core is the state machine. It performs no input or output and receives the current time as an argument.
// Holder runs it as an actor and performs its input and output: a FencedWriter commits changes in batches,
// and an agentLink to each agent renews the agent's lease and delivers its reports. Host waits until the
// hall is free and then runs a Holder.
package hall
