// Package relay lets gateways reach the platform's store through one another, and be told through one
// another of what the operator has written.
//
// Some gateways are relays: each has one of a few slots, a row that it renews. Relays ask the store
// themselves for what the operator has written, and pass it on to all other gateways with a proof of how
// new it is. So the store is asked by a few, however many gateways there are. A gateway without a relay
// that serves it asks the store itself.
//
// A gateway that the store turns away sends its calls through a relay that is served. A Store tries the
// store itself first; while that fails, its calls go to a relay, and the store is tried again in the
// background. Each call is made at most once: one that got no answer on either way is unsettled, and its
// caller decides what to do.
package relay
