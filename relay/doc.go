// Package relay lets gateways reach the platform's store, and follow the operator's table, through one
// another.
//
// Some gateways are relays: each holds one of a few slots, a row that it renews. Relays read the operator's
// table from the store and forward it to all other gateways with its age, so the load on the store does not
// grow with the number of gateways. A gateway that no relay serves reads the store itself.
//
// A gateway to which the store is unavailable sends its calls through a relay that can reach the store. A
// Store calls the store directly first; when that fails, calls go to a relay while the store is probed in
// the background. A transaction is sent again only after an attempt that certainly had no effect. A
// transaction without a reply has an unknown outcome, and its caller decides what to do.
package relay
