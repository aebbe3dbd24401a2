// Package pooltest tests the gateway and sidecar programs as separate processes, against the stand-ins of package
// fakes for the platform.
package pooltest
