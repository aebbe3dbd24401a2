// Package rpc sends protobuf messages between hollyfork's processes over net/rpc.
//
// It adds the following to net/rpc: a protobuf codec with a maximum message size, deadlines for calls and writes,
// limits on the number of connections and of concurrent requests per connection, and a server shutdown that completes
// the requests in progress.
package rpc
