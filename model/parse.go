package model

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"hollyfork.example/hollyfork/job"
)

const (
	sectionWorkload = "workload"
	sectionPool     = "pool"
	prefixKind      = "kind "
	prefixTrouble   = "trouble "

	// Limits of the values in a workload file. Simulations of larger workloads take hours and gigabytes of memory.
	maxWorkers = 20_000
	maxRate    = 10_000
	maxLength  = 24 * time.Hour
	maxAmount  = 1_000_000_000
)

var errUnknown = errors.New("is not known here")

// ParseWorkload parses the content of a workload file. The error names every invalid section and key.
func ParseWorkload(content []byte) (Workload, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowDuplicateShadowValues: false}, content)
	if err != nil {
		return Workload{}, &Error{Op: "read the workload", Kind: KindWorkload, Err: err}
	}
	r := &reader{}
	w := Workload{Length: r.section(file.Section(sectionWorkload)).duration("length", 0, maxLength)}
	w.Pool = r.pool(file.Section(sectionPool))
	for _, s := range file.Sections() {
		switch {
		case strings.HasPrefix(s.Name(), prefixKind):
			w.Kinds = append(w.Kinds, r.kind(s))
		case strings.HasPrefix(s.Name(), prefixTrouble):
			w.Troubles = append(w.Troubles, r.trouble(s, w.Length))
		case s.Name() != sectionWorkload && s.Name() != sectionPool && len(s.Keys()) > 0:
			r.addProblem(s.Name(), "", errUnknown)
		}
	}
	r.checkBursts(w)
	if err := errors.Join(r.problems...); err != nil {
		return Workload{}, &Error{Op: "read the workload", Kind: KindWorkload, Err: err}
	}
	return w, nil
}

type (
	// reader collects the problems of a workload file.
	reader struct {
		problems []error
	}

	// sectionReader reads the keys of a section and records the names of those that it has read.
	sectionReader struct {
		*reader
		section *ini.Section
		read    map[string]bool
	}
)

func (r *reader) addProblem(section, key string, err error) {
	r.problems = append(r.problems, fmt.Errorf("[%s] %s: %w", section, key, err))
}

func (r *reader) section(s *ini.Section) *sectionReader {
	return &sectionReader{reader: r, section: s, read: map[string]bool{}}
}

func (r *reader) pool(s *ini.Section) Pool {
	k := r.section(s)
	defer k.checkUnknownKeys()
	return Pool{
		Workers:            k.integer("workers", 1, maxWorkers),
		WorkersPerRack:     k.integerOr("rack", 1, maxWorkers, 8),
		WorkerCapacity:     k.shape(job.Shape{CPUMillis: 128_000, MemoryMB: 262_144, Accelerators: 8}),
		Speeds:             k.speeds("speeds"),
		StartDelay:         k.durationOr("start", time.Minute, 250*time.Millisecond),
		StopDelay:          k.durationOr("stop", time.Minute, 400*time.Millisecond),
		CheckpointInterval: k.durationOr("save", time.Hour, time.Second),
		StoreLatency:       k.durationOr("store", time.Second, 4*time.Millisecond),
	}
}

func (r *reader) kind(s *ini.Section) JobKind {
	k := r.section(s)
	defer k.checkUnknownKeys()
	kind := JobKind{
		Name:            strings.TrimPrefix(s.Name(), prefixKind),
		Rate:            k.number("rate", 0, maxRate),
		Swing:           k.numberOr("swing", 1, 0),
		Period:          k.durationOr("period", maxLength, 10*time.Second),
		Priority:        k.integerOr("priority", 0, 9, 1),
		Attempts:        k.integerOr("attempts", 1, 100, 3),
		MeanTasks:       k.numberOr("tasks", job.MaxTasks, 1),
		MaxTasks:        k.integerOr("tasks-most", 1, job.MaxTasks, job.MaxTasks),
		Accelerators:    k.integers("accelerators", 1, 64),
		MeanWork:        k.duration("work", time.Millisecond, maxLength),
		WorkSpread:      k.numberOr("work-spread", 10, 0.3),
		MaxWork:         k.durationOr("work-most", maxLength, maxLength),
		EstimateError:   k.numberOr("guess-off", 1, 0.2),
		GangShare:       k.numberOr("gangs", 1, 0),
		SameRackShare:   k.numberOr("one-rack", 1, 0),
		CheckpointShare: k.numberOr("saving", 1, 0),
		FailureShare:    k.numberOr("failing", 1, 0),
		Stretch:         k.numberOr("stretch", 100, 2),
		Goal:            k.durationOr("goal", maxLength, time.Second),
		Value:           k.numberOr("value", 1000, 1),
		LateValueShare:  k.numberOr("late", 1, 0),
	}
	kind.Shape = k.shape(job.Shape{CPUMillis: 1000, MemoryMB: 1024})
	return kind
}

func (r *reader) trouble(s *ini.Section, length time.Duration) Trouble {
	k := r.section(s)
	defer k.checkUnknownKeys()
	span := Span{At: k.duration("at", 0, length), For: k.duration("for", 0, maxLength)}
	switch what := k.text("what"); what {
	case "burst":
		return Burst{Span: span, Of: k.text("of"), Factor: k.number("factor", 1, 1000)}
	case "slow-workers":
		return SlowWorkers{Span: span, Share: k.number("share", 0, 1), Factor: k.number("factor", 1, 1000)}
	case "failing-workers":
		return FailingWorkers{Span: span, Share: k.number("share", 0, 1)}
	case "crashing-workers":
		return CrashingWorkers{Span: span, Share: k.number("share", 0, 1)}
	case "holder-killed":
		return HolderKilled{Span: span}
	case "slow-store":
		return SlowStore{Span: span, Factor: k.number("factor", 1, 10_000)}
	case "silent-store":
		return SilentStore{Span: span}
	default:
		r.addProblem(s.Name(), "what", fmt.Errorf("%q is none of burst, slow-workers, failing-workers, crashing-workers, holder-killed, slow-store and silent-store", what))
		return SilentStore{Span: span}
	}
}

// checkBursts reports bursts of unknown kinds, and a workload without kinds.
func (r *reader) checkBursts(w Workload) {
	for _, t := range w.Troubles {
		burst, ok := t.(Burst)
		if !ok {
			continue
		}
		found := false
		for _, k := range w.Kinds {
			found = found || k.Name == burst.Of
		}
		if !found {
			r.addProblem("trouble", "of", fmt.Errorf("there is no kind %q", burst.Of))
		}
	}
	if len(w.Kinds) == 0 {
		r.addProblem("kind NAME", "", errors.New("at least one is needed"))
	}
}

// checkUnknownKeys reports the keys of the section that were not read.
func (k *sectionReader) checkUnknownKeys() {
	for _, key := range k.section.Keys() {
		if !k.read[key.Name()] {
			k.addProblem(k.section.Name(), key.Name(), errUnknown)
		}
	}
}

func (k *sectionReader) text(key string) string {
	k.read[key] = true
	return strings.TrimSpace(k.section.Key(key).String())
}

func (k *sectionReader) has(key string) bool {
	return k.section.HasKey(key)
}

func (k *sectionReader) number(key string, low, high float64) float64 {
	value, err := strconv.ParseFloat(k.text(key), 64)
	if err != nil || math.IsNaN(value) || value < low || value > high {
		k.addProblem(k.section.Name(), key, fmt.Errorf("%q is not a number from %g to %g", k.text(key), low, high))
		return low
	}
	return value
}

func (k *sectionReader) numberOr(key string, high, fallback float64) float64 {
	if !k.has(key) {
		return fallback
	}
	return k.number(key, 0, high)
}

func (k *sectionReader) integer(key string, low, high int) int {
	value, err := strconv.Atoi(k.text(key))
	if err != nil || value < low || value > high {
		k.addProblem(k.section.Name(), key, fmt.Errorf("%q is not a whole number from %d to %d", k.text(key), low, high))
		return low
	}
	return value
}

func (k *sectionReader) integerOr(key string, low, high, fallback int) int {
	if !k.has(key) {
		return fallback
	}
	return k.integer(key, low, high)
}

func (k *sectionReader) integers(key string, low, high int) []int {
	if !k.has(key) {
		return []int{low}
	}
	var values []int
	for part := range strings.SplitSeq(k.text(key), ",") {
		value, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || value < low || value > high {
			k.addProblem(k.section.Name(), key, fmt.Errorf("%q is not a whole number from %d to %d", part, low, high))
			value = low
		}
		values = append(values, value)
	}
	return values
}

func (k *sectionReader) speeds(key string) []float64 {
	if !k.has(key) {
		return []float64{1}
	}
	var values []float64
	for part := range strings.SplitSeq(k.text(key), ",") {
		value, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(value > 0 && value <= 100) {
			k.addProblem(k.section.Name(), key, fmt.Errorf("%q is not a number above 0 and up to 100", part))
			value = 1
		}
		values = append(values, value)
	}
	return values
}

func (k *sectionReader) duration(key string, low, high time.Duration) time.Duration {
	value, err := time.ParseDuration(k.text(key))
	if err != nil || value < low || value > high {
		k.addProblem(k.section.Name(), key, fmt.Errorf("%q is not a time from %s to %s, such as 500ms or 10s", k.text(key), low, high))
		return low
	}
	return value
}

func (k *sectionReader) durationOr(key string, high, fallback time.Duration) time.Duration {
	if !k.has(key) {
		return fallback
	}
	return k.duration(key, 0, high)
}

// shape reads the shape of a task or worker. It leaves out the accelerators of tasks, whose key holds a list.
func (k *sectionReader) shape(defaults job.Shape) job.Shape {
	shape := job.Shape{
		CPUMillis: int(1000 * k.numberOr("cores", maxAmount, float64(defaults.CPUMillis)/1000)),
		MemoryMB:  k.integerOr("memory-mb", 0, maxAmount, defaults.MemoryMB),
	}
	if defaults.Accelerators > 0 {
		shape.Accelerators = k.integerOr("accelerators", 1, 64, defaults.Accelerators)
	}
	return shape
}
