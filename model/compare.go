package model

import (
	"context"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"

	"hollyfork.example/hollyfork/pool"
)

type (
	// Case is a workload with the seed of its simulation.
	Case struct {
		Workload Workload
		Seed     uint64
	}

	// Pair holds the outcomes of one case under two settings.
	Pair struct {
		Before, After *Outcome
	}

	// Difference is the mean difference between the outcomes of pairs, with its standard error.
	Difference struct {
		Mean, StandardError float64
		Pairs               int
	}
)

// SimulateAll simulates cases under settings, as many at a time as there are processors. It calls done after each
// simulation, possibly from several goroutines at once.
func SimulateAll(ctx context.Context, cases []Case, settings pool.Settings, done func()) ([]*Outcome, error) {
	outcomes := make([]*Outcome, len(cases))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, c := range cases {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			o, err := Simulate(c.Workload, settings, c.Seed)
			if err != nil {
				return err
			}
			outcomes[i] = o
			done()
			return nil
		})
	}
	return outcomes, group.Wait()
}

// Compare simulates each case under two settings. It calls done after each simulation, possibly from several
// goroutines at once.
func Compare(ctx context.Context, cases []Case, before, after pool.Settings, done func()) ([]Pair, error) {
	first, err := SimulateAll(ctx, cases, before, done)
	if err != nil {
		return nil, err
	}
	second, err := SimulateAll(ctx, cases, after, done)
	if err != nil {
		return nil, err
	}
	pairs := make([]Pair, len(cases))
	for i := range pairs {
		pairs[i] = Pair{Before: first[i], After: second[i]}
	}
	return pairs, nil
}

// MeanDifference returns the mean difference of a figure between the outcomes of pairs.
func MeanDifference(pairs []Pair, figure func(*Outcome) float64) Difference {
	d := Difference{Pairs: len(pairs)}
	if len(pairs) == 0 {
		return d
	}
	sum, squares := 0.0, 0.0
	for _, p := range pairs {
		diff := figure(p.After) - figure(p.Before)
		sum += diff
		squares += diff * diff
	}
	n := float64(len(pairs))
	d.Mean = sum / n
	if n > 1 {
		d.StandardError = math.Sqrt(max(0, squares/n-d.Mean*d.Mean) / (n - 1))
	}
	return d
}
