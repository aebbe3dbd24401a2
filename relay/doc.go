// Package relay lets a gateway that the platform's store turns away reach it through another
// gateway. A Store tries the store itself first; while that fails, its calls go to another
// gateway that says it is served, and the store is tried again in the background. Gateways
// find one another by rows that each of them renews.
//
// Each call is made at most once: one that got no answer on either way is unsettled, and its
// caller decides what to do.
package relay
