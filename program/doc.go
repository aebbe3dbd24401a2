// Package program implements the main functions of hollyfork's programs. They are not in the main packages, so that
// tests can run them.
//
// A main function takes the command line and returns the exit code: 0 for success, 1 for a failure, and 2 for
// invalid settings or arguments.
package program
