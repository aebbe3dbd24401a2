// Package wire holds the types of everything that hollyfork sends or keeps: the
// resources of its HTTP API, the messages between its processes and the rows in
// the platform's table service. They are generated from hollyfork.proto.
//
// To change them, edit hollyfork.proto and run, with protoc and protoc-gen-go on
// the path:
//
//	protoc --go_out=. --go_opt=paths=source_relative hollyfork.proto
package wire
