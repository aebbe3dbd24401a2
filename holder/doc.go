// Package holder runs the decisions of a pool. One process at a time holds a pool, by a lease in the
// platform's store. The holder keeps a connection to the agent beside each worker of the pool, commits the
// decisions of package pool, and sends the resulting orders to the agents.
//
// If a holder stops or is cut off, another process takes the pool within seconds. It finds the state of the
// pool in the store and on the workers.
package holder
