package pool

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

const (
	// pacesName is the name of the row that keeps workers' paces for the next holder.
	pacesName = "paces"
	// pacesEvery is how often it is written at most.
	pacesEvery = 2 * time.Second
	// maxPaces bounds the workers in it, so that it stays below the store's 64 KiB a row.
	maxPaces = 1000
	// mostKeptRuns bounds what the word of an earlier holder counts, in runs: soon outweighed if the
	// worker has changed meanwhile.
	mostKeptRuns = 3
)

// keptPace is what an earlier holder knew of an instance's pace.
type keptPace struct {
	of   instance.ID
	log  float64
	runs float64
}

// pacesRow returns the row with the workers' paces if it is to be written anew: in time, and when a worker's
// class has changed.
func (c *Core) pacesRow() (write store.Write, due bool) {
	b := &c.paces
	if b.workedOutAt.Sub(b.writtenAt) < pacesEvery {
		return store.Write{}, false
	}
	classes := map[string]paceClass{}
	row := &poolpb.PacesRow{Layout: rowLayout}
	for _, w := range c.inOrder() {
		if w.pace.class == 0 || len(row.GetWorkers()) == maxPaces {
			continue
		}
		classes[w.agent] = w.pace.class
		row.Workers = append(row.Workers, &poolpb.WorkerPace{
			Agent:     w.agent,
			Instance:  w.instance.String(),
			LogMillis: int32(w.pace.log * thousandths),
			Runs:      float32(w.pace.runs),
		})
	}
	if maps.Equal(classes, b.written) {
		return store.Write{}, false
	}
	b.written, b.writtenAt = classes, b.workedOutAt
	return store.Write{Key: pacesKey(c.name), Value: Encode(row)}, true
}

const thousandths = 1000

// pacesKey is the key of the row with the workers' paces.
func pacesKey(pool string) store.Key {
	return store.Key{Table: StateTable, Part: pool, Name: pacesName}
}

// restorePaces takes over what an earlier holder knew of the workers' paces.
func (c *Core) restorePaces(now time.Time, row store.Row) error {
	content := &poolpb.PacesRow{}
	if err := proto.Unmarshal(row.Value, content); err != nil || content.GetLayout() != rowLayout {
		return &Error{Op: "decode row " + row.Key.Name, Kind: KindCorrupt, Err: err}
	}
	b := &c.paces
	b.kept, b.keptAt = map[string]keptPace{}, now
	for _, saved := range content.GetWorkers() {
		b.kept[saved.GetAgent()] = keptPace{
			of:   instance.Parse(saved.GetInstance()),
			log:  float64(saved.GetLogMillis()) / thousandths,
			runs: max(0, min(mostKeptRuns, float64(saved.GetRuns()))),
		}
	}
	return nil
}

// before is what an earlier holder knew of a worker: that it is a usual one if nothing else is said.
func (b *paceBook) before(now time.Time, w *worker) mean {
	m := mean{}
	if b.kept == nil {
		return m
	}
	p, known := b.kept[w.agent]
	switch {
	case !known:
		m.add(0, decay(now.Sub(b.keptAt)))
	case w.instance.IsZero() || p.of.Matches(w.instance):
		m.add(p.log, p.runs*decay(now.Sub(b.keptAt)))
	}
	return m
}
