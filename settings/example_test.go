package settings_test

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"hollyfork.example/hollyfork/settings"
)

// Parse reports all faults at once.
func ExampleSet() {
	folder, err := os.MkdirTemp("", "settings")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	file := filepath.Join(folder, "agent.ini")
	if err := os.WriteFile(file, []byte("[agent]\nname = Sapporo\ncolour = blue\n"), 0o600); err != nil {
		panic(err)
	}

	s := settings.New("agent", io.Discard)
	settings.Add(s, "agent.name", "", "name of the worker", settings.Name)
	lease := settings.Add(s, "hall.lease", "6s", "length of the lease", settings.Duration(time.Second, time.Minute))
	fmt.Println(s.Parse([]string{"-config", file}))
	fmt.Println(*lease)
	// Output:
	// [agent] colour: no such setting
	// [agent] name: "Sapporo" is not 1 to 63 small letters, digits and inner hyphens
	// 6s
}

func ExampleWeights() {
	weights, err := settings.Weights("clinic=2, archive = 0.5")
	fmt.Println(weights, err)
	for _, text := range []string{"clinic", "clinic=0", "clinic=NaN", "clinic=1, clinic=2"} {
		_, err := settings.Weights(text)
		fmt.Println(err)
	}
	// Output:
	// map[archive:0.5 clinic:2] <nil>
	// "clinic" is not of the form NAME=WEIGHT
	// weight of "clinic": "0" is not a number above 0
	// weight of "clinic": "NaN" is not a number above 0
	// "clinic" has two weights
}
