// Package holder runs the decisions of a pool. Of all processes that could, one at a time
// holds the pool, by a lease in the platform's store. It keeps a connection to the agent
// beside each worker of the pool, commits what package pool decides, and gives the orders.
//
// A holder that is stopped or cut off is replaced by another within seconds. All that the
// next one needs is in the store and on the workers.
package holder
