package pool

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// paceSamplesPerWorker is the maximum number of samples per worker, on average.
	paceSamplesPerWorker = 16
	// paceHalfLife is the age at which a sample counts half, so that a worker can become slow and recover.
	paceHalfLife = 15 * time.Second
	// paceUpdateInterval is the time between two updates with up to paceUpdateSamples samples; with more it is
	// longer.
	paceUpdateInterval = 500 * time.Millisecond
	paceUpdateSamples  = 1000
	// paceIterations is the number of times that workers' paces and steps' run times are fitted in turn.
	paceIterations = 4

	// runTimeNoise is the prior standard deviation of the logarithm of run times of one step on equal workers,
	// and estimateNoise that of run times relative to their estimates.
	runTimeNoise  = 0.25
	estimateNoise = 0.5
	// usualSpread is the least spread of workers' log paces that is assumed for weighting few samples.
	usualSpread = 0.15
	// significantErrors is the number of standard errors by which the spread has to exceed minSpread to be
	// significant.
	significantErrors = 2
	// paceClassWidth is the difference of log paces between neighbouring classes.
	paceClassWidth = 0.2
	// slowClass is the lowest class of slow workers, which take at least a third longer than usual.
	slowClass paceClass = 2
	// outlierResidual is the residual above which a sample loses weight the larger the residual is, since the
	// run itself may be exceptionally long or cut short.
	outlierResidual = 0.6
	// implausibleLog is the log pace below which a worker does not count as fast: one that ends its runs at
	// once is faulty.
	implausibleLog = -1.2

	allPercent = 100
	// partialPercent and partialAfter are the least progress and run time from which the length of a current
	// run is estimated, and partialWeight is the weight of such a sample.
	partialPercent = 8
	partialAfter   = 400 * time.Millisecond
	partialWeight  = 0.7
)

type (
	// paceClass orders workers by how long they take: 0 is usual, and each class takes about a fifth longer
	// than the one below.
	paceClass int

	// paceEstimator estimates how long workers take for tasks, each relative to other workers with tasks of the
	// same step.
	paceEstimator struct {
		// samples are those of runs that ended recently, oldest first.
		samples []paceSample
		// spread is the standard deviation of the workers' log paces, and noise that of the log run times on
		// one worker.
		spread float64
		noise  float64
		// minSpread is the least spread that matters; spreadSignificant reports whether the spread is certainly
		// above it.
		minSpread         float64
		spreadSignificant bool
		// updatedAt is the time of the last update.
		updatedAt time.Time
		// inherited holds the paces that an earlier holder estimated for workers faster or slower than usual, as
		// of inheritedAt; nil if there is no earlier estimate.
		inherited   map[string]inheritedPace
		inheritedAt time.Time
		// written holds the classes that were last written to the store, and writtenAt the time of the
		// estimate.
		written   map[string]paceClass
		writtenAt time.Time
	}

	// paceSample is the run time of a task, known or extrapolated from its progress.
	paceSample struct {
		worker *worker
		step   roundStep
		queue  string
		// logRatio is the logarithm of the run time relative to the estimate.
		logRatio float64
		weight   float64
		at       time.Time
	}

	// roundStep identifies a step in a round; all of its tasks should take equally long.
	roundStep struct {
		round *round
		step  int
	}

	// pace is the estimate of how long a worker takes for tasks.
	pace struct {
		// log is the logarithm of the worker's run time relative to the usual one, and runs the number of runs
		// behind it.
		log   float64
		runs  float64
		class paceClass
	}

	// weightedMean accumulates a weighted mean.
	weightedMean struct {
		sum    float64
		weight float64
	}
)

func (m *weightedMean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
}

// value returns the mean of the values added so far and a prior value of the given weight.
func (m weightedMean) value(prior, weight float64) float64 {
	if m.weight+weight == 0 {
		return prior
	}
	return (m.sum + prior*weight) / (m.weight + weight)
}

// slow reports whether the worker takes so much longer than usual that urgent work does better to wait for
// another worker.
func (p pace) slow() bool {
	return p.class >= slowClass
}

// factor returns how many times as long as usual the worker takes.
func (p pace) factor() float64 {
	return math.Exp(p.log)
}

// slowestText describes the pace of the slowest worker for the log; it returns "" if none is slower than usual.
func slowestText(workers []*worker) string {
	most := pace{}
	for _, w := range workers {
		if w.pace.class > most.class {
			most = w.pace
		}
	}
	if most.class <= 0 {
		return ""
	}
	return fmt.Sprintf(", the slowest takes %.2f times as long as usual", most.factor())
}

// addPaceSample adds the run time of a member whose run has just ended. The tasks of a gang all end when the
// slowest one does, so their run times are extrapolated from the progress that they last reported.
func (c *Core) addPaceSample(now time.Time, m *member) {
	sample, ok := m.paceSample(now, allPercent, 1)
	if m.group.size > 1 {
		sample, ok = m.paceSample(m.percentAt, m.percent, 1)
		ok = ok && m.percent >= partialPercent
	}
	if ok {
		c.paces.add(sample, paceSamplesPerWorker*max(1, len(c.workers)))
	}
}

func (e *paceEstimator) add(sample paceSample, limit int) {
	e.samples = append(e.samples, sample)
	if len(e.samples) > limit {
		e.samples = slices.Delete(e.samples, 0, len(e.samples)-limit)
	}
}

// paceSample returns the run time of a member, extrapolated from its progress at the given time; ok is false if
// it is not known.
func (m *member) paceSample(now time.Time, percent int, weight float64) (sample paceSample, ok bool) {
	spec := m.group.spec()
	done := percent - m.startPercent
	ran := now.Sub(m.startedAt)
	if m.startedAt.IsZero() || spec.Estimate <= 0 || spec.LongRunning || done <= 0 || ran <= 0 {
		return paceSample{}, false
	}
	runTime := ran.Seconds() * allPercent / float64(done)
	return paceSample{
		worker:   m.worker,
		step:     roundStep{m.group.round, m.group.step},
		queue:    m.group.job.job.Queue,
		logRatio: math.Log(runTime / spec.Estimate.Seconds()),
		weight:   weight,
		at:       now,
	}, true
}

// updatePaces updates the workers' paces if the last update is long enough ago.
func (c *Core) updatePaces(now time.Time) {
	if now.Sub(c.paces.updatedAt) < paceUpdateInterval*time.Duration(1+len(c.paces.samples)/paceUpdateSamples) {
		return
	}
	c.paces.updatedAt = now
	samples := c.paces.recentSamples(now)
	for _, w := range c.sortedWorkers() {
		for _, m := range w.members {
			if m.phase != memberRunning || m.percent < partialPercent || now.Sub(m.startedAt) < partialAfter {
				continue
			}
			if sample, ok := m.paceSample(m.percentAt, m.percent, partialWeight); ok {
				samples = append(samples, sample)
			}
		}
	}
	known := c.paces.estimate(now, c.sortedWorkers(), samples)
	for _, w := range c.workers {
		w.pace = known[w]
	}
}

// recentSamples returns the samples weighted by their age, and drops those with a negligible weight.
func (e *paceEstimator) recentSamples(now time.Time) []paceSample {
	const least = 0.05
	e.samples = slices.DeleteFunc(e.samples, func(s paceSample) bool { return decay(now.Sub(s.at)) < least })
	samples := make([]paceSample, len(e.samples))
	for i, s := range e.samples {
		s.weight *= decay(now.Sub(s.at))
		samples[i] = s
	}
	return samples
}

func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / paceHalfLife.Seconds())
}

// estimate returns the workers' paces. It alternates between fitting the run times of steps on a usual worker
// and fitting how much longer each worker takes.
func (e *paceEstimator) estimate(now time.Time, workers []*worker, samples []paceSample) map[*worker]pace {
	f := newPaceFit(samples)
	if e.inherited != nil {
		for _, w := range workers {
			f.workerIndex(w)
		}
	}
	for range paceIterations {
		f.fitSteps()
		f.fitWorkers(e, now)
		e.fitSpread(f)
		for i, m := range f.means {
			f.logs[i] = m.value(0, e.priorWeight())
		}
		centre(f.logs)
	}
	known := map[*worker]pace{}
	for i, w := range f.workers {
		known[w] = pace{log: f.logs[i], runs: f.means[i].weight, class: e.classOf(f.logs[i], f.means[i].weight)}
	}
	return known
}

// paceFit is the working state of estimate. Workers, steps and queues are indexed in the order in which they
// occur.
type paceFit struct {
	samples []indexedSample
	workers []*worker
	indices map[*worker]int
	// steps holds the run times of steps on a usual worker, and queues how far the estimates of queues' callers
	// are off; both are logarithms relative to the estimates.
	steps  []weightedMean
	queues []weightedMean
	// means holds how much longer each worker takes, and logs the same values shrunk towards 0 where samples
	// are few.
	means []weightedMean
	logs  []float64
}

type indexedSample struct {
	worker, step, queue int
	logRatio, weight    float64
}

func newPaceFit(samples []paceSample) *paceFit {
	steps, queues := map[roundStep]int{}, map[string]int{}
	f := &paceFit{samples: make([]indexedSample, len(samples)), indices: map[*worker]int{}}
	for i, s := range samples {
		f.samples[i] = indexedSample{
			worker:   f.workerIndex(s.worker),
			step:     indexOf(steps, s.step),
			queue:    indexOf(queues, s.queue),
			logRatio: s.logRatio,
			weight:   s.weight,
		}
	}
	f.steps = make([]weightedMean, len(steps))
	f.queues = make([]weightedMean, len(queues))
	return f
}

// workerIndex returns the index of a worker, and adds it if it is new.
func (f *paceFit) workerIndex(w *worker) int {
	index, known := f.indices[w]
	if !known {
		index = len(f.workers)
		f.indices[w] = index
		f.workers = append(f.workers, w)
		f.logs = append(f.logs, w.pace.log)
		f.means = append(f.means, weightedMean{})
	}
	return index
}

// indexOf returns the index of a key, and adds it if it is new.
func indexOf[K comparable](indices map[K]int, key K) int {
	index, known := indices[key]
	if !known {
		index = len(indices)
		indices[key] = index
	}
	return index
}

// fitSteps fits the run times of steps on a usual worker.
func (f *paceFit) fitSteps() {
	clear(f.steps)
	clear(f.queues)
	for _, s := range f.samples {
		usual := s.logRatio - f.logs[s.worker]
		f.steps[s.step].add(usual, s.weight)
		f.queues[s.queue].add(usual, s.weight)
	}
}

// residual returns how much longer a run took than its step takes on a usual worker, as a logarithm.
func (f *paceFit) residual(s indexedSample) float64 {
	return s.logRatio - f.steps[s.step].value(f.queues[s.queue].value(0, 0), stepPriorRuns)
}

// fitWorkers fits how much longer each worker takes than a usual one.
func (f *paceFit) fitWorkers(e *paceEstimator, now time.Time) {
	for i, w := range f.workers {
		f.means[i] = e.prior(now, w)
	}
	for _, s := range f.samples {
		residual := f.residual(s)
		off := math.Abs(residual - f.logs[s.worker])
		f.means[s.worker].add(residual, s.weight*min(1, outlierResidual/max(off, outlierResidual)))
	}
}

// fitSpread estimates the noise of run times on one worker, and the spread of workers beyond that noise.
func (e *paceEstimator) fitSpread(f *paceFit) {
	within, between := weightedMean{}, weightedMean{}
	for _, s := range f.samples {
		off := max(-outlierResidual, min(outlierResidual, f.residual(s)-f.means[s.worker].value(0, 0)))
		within.add(off*off, s.weight)
	}
	// Residuals are too small because steps and workers were fitted to the same runs; correct the degrees of
	// freedom.
	fitted := float64(len(f.steps)+len(f.means)) / float64(max(1, len(f.samples)))
	within.weight *= max(0, 1-fitted)
	variance := within.value(runTimeNoise*runTimeNoise, noisePriorRuns)
	for _, m := range f.means {
		if m.weight > 0 {
			value := m.value(0, 0)
			between.add(value*value-variance/m.weight, m.weight)
		}
	}
	spread := max(0, between.value(0, noisePriorRuns))
	byChance := variance * math.Sqrt(2*float64(len(f.means))) / (between.weight + noisePriorRuns)
	e.noise, e.spread = math.Sqrt(variance), math.Sqrt(spread)
	e.spreadSignificant = spread > e.minSpread*e.minSpread+significantErrors*byChance
}

// noisePriorRuns is the weight of the prior values of noise and spread, in runs.
const noisePriorRuns = 8

// stepPriorRuns is the weight of the estimated run time of a step, in runs.
const stepPriorRuns = runTimeNoise * runTimeNoise / (estimateNoise * estimateNoise)

// priorWeight returns the weight of the prior that a worker is a usual one, in runs.
func (e *paceEstimator) priorWeight() float64 {
	spread := max(usualSpread, e.spread)
	return e.noise * e.noise / (spread * spread)
}

// classOf returns the class of a worker with a log pace that is based on a number of runs. It returns 0 if the
// spread of workers is not significant, or the worker's own pace is implausible or too uncertain.
func (e *paceEstimator) classOf(log, runs float64) paceClass {
	if !e.spreadSignificant || log < implausibleLog {
		return 0
	}
	uncertain := e.noise / math.Sqrt(runs+e.priorWeight())
	if math.Abs(log) < uncertain {
		return 0
	}
	return paceClass(math.Round(log / paceClassWidth))
}

// centre shifts the log paces so that their median is 0, the usual pace.
func centre(logs []float64) {
	if len(logs) == 0 {
		return
	}
	median := slices.Sorted(slices.Values(logs))[len(logs)/2]
	for i := range logs {
		logs[i] -= median
	}
}

// comparePace orders workers for a group: the fastest first if the group prefers fast workers, else the slowest
// first, so that the fast ones stay free.
func (g *group) comparePace(a, b *worker) int {
	if g.fastFirst {
		return int(a.pace.class - b.pace.class)
	}
	return int(b.pace.class - a.pace.class)
}

// prefersFast reports whether a group is placed on fast workers first. This holds for urgent work, and for
// other work as long as it leaves QuickReserve times the accelerators free there that urgent work has used
// recently.
func (p *pass) prefersFast(g *group) bool {
	if g.job.job.Terms.Priority == 0 {
		return true
	}
	left := p.fastFree - g.taskShape.Accelerators*g.size
	return float64(left) >= p.core.settings.QuickReserve*p.core.urgentUse
}

// updateUrgentUse adds the accelerators that urgent work uses at present to their moving average.
func (c *Core) updateUrgentUse(now time.Time) {
	used := 0
	for _, j := range c.liveJobs {
		if j.job.Terms.Priority != 0 {
			continue
		}
		for _, g := range j.groups {
			used += len(g.members) * g.taskShape.Accelerators
		}
	}
	weight := 1 - decay(now.Sub(c.urgentUseAt))
	c.urgentUse += weight * (float64(used) - c.urgentUse)
	c.urgentUseAt = now
}

// forgetWorker drops all data about a worker that may have changed.
func (e *paceEstimator) forgetWorker(w *worker) {
	e.samples = slices.DeleteFunc(e.samples, func(s paceSample) bool { return s.worker == w })
	delete(e.inherited, w.agent)
	w.pace = pace{}
}
