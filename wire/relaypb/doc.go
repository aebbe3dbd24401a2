// Package relaypb holds the wire types with which gateways pass each other's calls on to the
// platform's store. They are generated from relay.proto.
//
// To change them, edit relay.proto and run, with protoc and protoc-gen-go on the path:
//
//	protoc --go_out=. --go_opt=paths=source_relative relay.proto
package relaypb
