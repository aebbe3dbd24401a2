// Package entry serves the resource API to callers and operators.
//
// Entries are stateless: any entry can serve any request. An entry looks up the holder of each hall in the table
// service, chooses a hall for each new job, and forwards requests to the holders. It changes the configuration
// itself: the whole configuration is one row, which is written by compare-and-set.
package entry
