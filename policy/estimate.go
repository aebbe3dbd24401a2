package policy

import (
	"time"

	"github.com/valyala/histogram"
)

const (
	// minLearnedRuns is the number of completed runs of a kind from which on estimates use learned run
	// times instead of declared ones.
	minLearnedRuns = 5
	// defaultRunTime is the estimate for a job without a declared or learned run time.
	defaultRunTime = time.Hour
	// declaredFactor multiplies declared run times, which are far from the true ones.
	declaredFactor = 3

	medianQuantile = 0.5
	safeQuantile   = 0.9
)

// runKind groups jobs with comparable run times.
type runKind struct {
	workspace    string
	service      string
	accelerators int
	tasks        int
}

func runKindOf(j Job) runKind {
	return runKind{
		workspace:    j.Workspace,
		service:      j.Service,
		accelerators: j.Shape.Accelerators,
		tasks:        j.Tasks,
	}
}

// runTimes is the distribution of the run times of one kind, in seconds.
type runTimes struct {
	runs   int
	sample *histogram.Fast
}

// recordRunTime records the run time of a completed job.
func (h *Hall) recordRunTime(now time.Time, p *placedJob) {
	if p.started.IsZero() {
		return
	}
	key := runKindOf(p.job)
	times, ok := h.runTimes[key]
	if !ok {
		times = &runTimes{sample: histogram.NewFast()}
		h.runTimes[key] = times
	}
	times.runs++
	times.sample.Update(now.Sub(p.started).Seconds())
}

// estimate returns the given quantile of the run times of earlier jobs of the same kind. If too few are
// known, it derives the estimate from the declared run time, and if there is none, returns a default.
func (h *Hall) estimate(j Job, quantile float64) time.Duration {
	times, ok := h.runTimes[runKindOf(j)]
	if ok && h.settings.LearnRunTimes && times.runs >= minLearnedRuns {
		return time.Duration(times.sample.Quantile(quantile) * float64(time.Second))
	}
	if j.DeclaredRunTime > 0 {
		return declaredFactor * j.DeclaredRunTime
	}
	return defaultRunTime
}

// expectedEnd returns the estimated end of a placed job.
func (h *Hall) expectedEnd(now time.Time, p *placedJob) time.Time {
	if p.started.IsZero() {
		return now.Add(h.estimate(p.job, medianQuantile))
	}
	end := p.started.Add(h.estimate(p.job, medianQuantile))
	if end.After(now) {
		return end
	}
	// The run has exceeded its estimate: assume half of the elapsed time in addition.
	return now.Add(now.Sub(p.started) / 2)
}
