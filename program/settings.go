package program

import (
	"fmt"
	"time"

	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/hollyfork/platform/adapter"
	"hollyfork.example/hollyfork/process/launch"
	"hollyfork.example/hollyfork/settings"
	"hollyfork.example/hollyfork/store"
)

// addHallSettings adds the settings of holders, with their defaults, and returns a function that returns their values
// after the settings are parsed.
func addHallSettings(s *settings.Set) func() hall.Settings {
	d := hall.DefaultSettings
	duration := func(key string, preset, low, high time.Duration, usage string) *time.Duration {
		return settings.Add(s, "hall."+key, preset.String(), usage, settings.Duration(low, high))
	}
	holderLease := duration("holder-lease", d.HolderLease, time.Second, time.Minute, "how long a hall's lease is valid after its last renewal")
	agentLease := duration("agent-lease", d.AgentLease, 2*time.Second, 10*time.Minute, "how long tasks continue to run without a renewal by the holder")
	syncWait := duration("sync-wait", d.SyncWait, 100*time.Millisecond, 10*time.Second, "how long an agent delays its reply to a renewal while there is nothing to report")
	commitInterval := duration("commit-interval", d.CommitInterval, 5*time.Millisecond, 5*time.Second, "minimum time between two transactions of a hall")
	unknownAfter := duration("unknown-after", d.OutcomeTimeout, time.Second, 24*time.Hour, "how long an agent may be silent before the outcome of its jobs is unknown")
	moveAfter := duration("move-after", d.MoveAfter, time.Second, 24*time.Hour, "how long a job waits in a hall before it may move to another")
	maxAttempts := settings.Add(s, "hall.max-attempts", fmt.Sprint(d.MaxAttempts), "maximum number of attempts of a repeatable job", settings.Int(1, 1000))
	return func() hall.Settings {
		result := d
		result.HolderLease = *holderLease
		result.AgentLease = *agentLease
		result.SyncWait = *syncWait
		result.CommitInterval = *commitInterval
		result.OutcomeTimeout = *unknownAfter
		result.MoveAfter = *moveAfter
		result.MaxAttempts = int32(*maxAttempts)
		return result
	}
}

// commonSettings are the settings that entries and agents have in common.
type commonSettings struct {
	storeAddress *string
	vmsURL       *string
	adminAddress *string
	logLevel     *string
}

func addCommonSettings(s *settings.Set) commonSettings {
	return commonSettings{
		storeAddress: settings.Add(s, "platform.store", "", "IP address and port of the store", settings.Address),
		vmsURL:       settings.Add(s, "platform.vms", "", "base URL of the list of VMs", settings.URL),
		adminAddress: settings.Add(s, "admin.listen", "", "IP address and port for metrics and the state dump; empty for none", settings.OptionalAddress),
		logLevel:     launch.LogLevel(s),
	}
}

// storeTimeout bounds a call to the store for halls. The lease of a hall is valid for several seconds, and an outage of
// the store has to be detected well before it ends.
const storeTimeout = 3 * time.Second

// newStore returns a client of the store for halls.
func newStore(address string) store.Store {
	return adapter.NewStore(address).WithTimeout(storeTimeout)
}
