// Package pooltest tests the programs that run on the users' platform as separate
// processes, against package fakes.
package pooltest
