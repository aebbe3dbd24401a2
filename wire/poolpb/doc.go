// Package poolpb holds the wire types of pools: the rows that a pool keeps in the
// platform's store and the messages between a pool's holder and its agents. They are
// generated from pool.proto.
//
// To change them, edit pool.proto and run, with protoc and protoc-gen-go on the path:
//
//	protoc --go_out=. --go_opt=paths=source_relative pool.proto
package poolpb
