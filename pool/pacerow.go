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
	// pacesRowName is the name of the row that keeps workers' paces for the next holder.
	pacesRowName = "paces"
	// pacesWriteInterval is the minimum time between two writes of the row.
	pacesWriteInterval = 2 * time.Second
	// paceBytes is the maximum encoded size of a worker's pace without its names, in bytes.
	paceBytes = 32
	// maxInheritedRuns bounds the weight of an earlier holder's estimate, in runs, so that new samples soon
	// outweigh it if the worker has changed in the meantime.
	maxInheritedRuns = 3
)

// inheritedPace is an earlier holder's estimate of the pace of a worker instance.
type inheritedPace struct {
	instance instance.ID
	log      float64
	runs     float64
}

// pacesRow returns the row with the workers' paces if it has to be written: at most once in pacesWriteInterval,
// and only if the class of a worker has changed.
func (c *Core) pacesRow() (write store.Write, due bool) {
	e := &c.paces
	if e.updatedAt.Sub(e.writtenAt) < pacesWriteInterval {
		return store.Write{}, false
	}
	classes := map[string]paceClass{}
	row := &poolpb.PacesRow{Layout: rowLayout}
	size := paceBytes // for what the row has once
	for _, w := range c.sortedWorkers() {
		if w.pace.class == 0 {
			continue
		}
		if size += paceBytes + len(w.agent) + len(w.instance.String()); size > maxValueBytes {
			break // the others are judged anew by the next holder
		}
		classes[w.agent] = w.pace.class
		row.Workers = append(row.Workers, &poolpb.WorkerPace{
			Agent:     w.agent,
			Instance:  w.instance.String(),
			LogMillis: int32(w.pace.log * thousandths),
			Runs:      float32(w.pace.runs),
		})
	}
	if maps.Equal(classes, e.written) {
		return store.Write{}, false
	}
	e.written, e.writtenAt = classes, e.updatedAt
	return store.Write{Key: pacesKey(c.name), Value: Encode(row)}, true
}

const thousandths = 1000

// pacesKey returns the key of the row with the workers' paces.
func pacesKey(pool string) store.Key {
	return store.Key{Table: StateTable, Part: pool, Name: pacesRowName}
}

// restorePaces restores the paces that an earlier holder estimated.
func (c *Core) restorePaces(now time.Time, row store.Row) error {
	content := &poolpb.PacesRow{}
	if err := proto.Unmarshal(row.Value, content); err != nil || content.GetLayout() != rowLayout {
		return &Error{Op: "decode row " + row.Key.Name, Kind: KindCorrupt, Err: err}
	}
	e := &c.paces
	e.inherited, e.inheritedAt = map[string]inheritedPace{}, now
	for _, saved := range content.GetWorkers() {
		e.inherited[saved.GetAgent()] = inheritedPace{
			instance: instance.Parse(saved.GetInstance()),
			log:      float64(saved.GetLogMillis()) / thousandths,
			runs:     max(0, min(maxInheritedRuns, float64(saved.GetRuns()))),
		}
	}
	return nil
}

// prior returns an earlier holder's estimate for a worker. A worker that is not in the row is assumed to be a
// usual one; an estimate for another instance of the worker is ignored.
func (e *paceEstimator) prior(now time.Time, w *worker) weightedMean {
	m := weightedMean{}
	if e.inherited == nil {
		return m
	}
	p, known := e.inherited[w.agent]
	switch {
	case !known:
		m.add(0, decay(now.Sub(e.inheritedAt)))
	case w.instance.IsZero() || p.instance.Matches(w.instance):
		m.add(p.log, p.runs*decay(now.Sub(e.inheritedAt)))
	}
	return m
}
