package cluster

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// A directory may contain only one of the programs of another build.
func TestProgramsOfAnotherBuildReplaceThisOne(t *testing.T) {
	is := is.New(t)
	own, err := os.Executable()
	is.NoErr(err)
	*programs = t.TempDir()
	t.Cleanup(func() { *programs = "" })
	other := filepath.Join(*programs, "hollyfork-sidecar")
	is.NoErr(os.WriteFile(other, nil, 0o600))
	path, err := executableOf(sidecarProgram)
	is.NoErr(err)
	is.Equal(path, other)
	path, err = executableOf(gatewayProgram)
	is.NoErr(err)
	is.Equal(path, own)
}
