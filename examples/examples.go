// Package examples contains the declarations of two users, each with some jobs for a demonstration.
package examples

import (
	"embed"
	"io/fs"
	"slices"
)

//go:embed kitakaze magnolia
var files embed.FS

// Names returns the names of the examples.
func Names() []string {
	return []string{"kitakaze", "magnolia"}
}

// Open returns the files of the example with the given name; ok is false if there is no such example.
func Open(name string) (folder fs.FS, ok bool) {
	if !slices.Contains(Names(), name) {
		return nil, false
	}
	folder, err := fs.Sub(files, name)
	return folder, err == nil
}
