package lab

import (
	"context"
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"hollyfork.example/hollyfork/model"
)

type (
	// namedCase is a case with the source of its workload.
	namedCase struct {
		model.Case

		name string
	}

	// figure is a measure by which outcomes are compared.
	figure struct {
		name  string
		value func(*model.Outcome) float64
	}
)

// figures returns the figures that are reported for each case.
func figures() []figure {
	return []figure{
		{"worth", (*model.Outcome).ValueShare},
		{"least kind", (*model.Outcome).LeastValueShare},
		{"wasted", (*model.Outcome).WastedShare},
		{"in time", func(o *model.Outcome) float64 {
			jobs, inTime := 0, 0
			for _, k := range o.Kinds {
				jobs += k.Jobs
				inTime += k.InTime
			}
			return float64(inTime) / float64(max(jobs, 1))
		}},
		{"never", func(o *model.Outcome) float64 {
			jobs, unfinished := 0, 0
			for _, k := range o.Kinds {
				jobs += k.Jobs
				unfinished += k.Unfinished
			}
			return float64(unfinished) / float64(max(jobs, 1))
		}},
	}
}

// play reports the outcomes of workloads under one set of settings.
func (l *lab) play(ctx context.Context, files []string) error {
	cases, err := l.cases(files)
	if err != nil {
		return err
	}
	_, after, err := l.settings()
	if err != nil {
		return err
	}
	outcomes, err := model.SimulateAll(ctx, modelCases(cases), after, l.progress(len(cases)))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(l.stderr)
	table := tabwriter.NewWriter(l.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "workload\tseed\tkind\tjobs\tin time\tlate\tfailed\tnever\tserved\twait 50%\twait 90%")
	for i, c := range cases {
		o := outcomes[i]
		for _, k := range o.Kinds {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\n", c.name, c.Seed, k.Name, k.Jobs, k.InTime, k.Late, k.Failed, k.Unfinished,
				k.ValueShare(), k.WaitQuantile(0.5).Round(time.Millisecond), k.WaitQuantile(0.9).Round(time.Millisecond))
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\tall: worth %.3f, of at most %.3f; wasted %.3f\n", c.name, c.Seed, o.ValueShare(), model.Bound(c.Workload, c.Seed), o.WastedShare())
		_, _ = fmt.Fprintf(table, "\t\taccelerators on average: %.1f in use; free %s\n", o.MeanInUse, o.MeanFree)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return l.writeCSV(cases, func(i int, f figure) []float64 { return []float64{f.value(outcomes[i])} }, "")
}

// compare reports the effect of changed settings.
func (l *lab) compare(ctx context.Context, files []string) error {
	cases, err := l.cases(files)
	if err != nil {
		return err
	}
	if l.changes == "" {
		return usageError{"-set is needed: what is to be compared with the defaults"}
	}
	before, after, err := l.settings()
	if err != nil {
		return err
	}
	pairs, err := model.Compare(ctx, modelCases(cases), before, after, l.progress(2*len(cases)))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(l.stderr)
	table := tabwriter.NewWriter(l.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "figure\tbefore\tafter\tdifference\tstandard error\tpairs\tleast before\tleast after")
	for _, f := range figures() {
		before, leastBefore := meanAndMinimum(pairs, func(p model.Pair) float64 { return f.value(p.Before) })
		after, leastAfter := meanAndMinimum(pairs, func(p model.Pair) float64 { return f.value(p.After) })
		d := model.MeanDifference(pairs, f.value)
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.4f\t%.4f\t%d\t%.3f\t%.3f\n", f.name,
			before, after, d.Mean, d.StandardError, d.Pairs, leastBefore, leastAfter)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return l.writeCSV(cases, func(i int, f figure) []float64 {
		return []float64{f.value(pairs[i].Before), f.value(pairs[i].After)}
	}, " before", " after")
}

// meanAndMinimum returns the mean and the minimum of a figure over pairs.
func meanAndMinimum(pairs []model.Pair, of func(model.Pair) float64) (mean, least float64) {
	least = math.Inf(1)
	for _, p := range pairs {
		mean += of(p) / float64(len(pairs))
		least = min(least, of(p))
	}
	return mean, least
}

// writeCSV writes a line with the figures of each case, if a file for them is given. Each figure has a column for
// each suffix of its name.
func (l *lab) writeCSV(cases []namedCase, figuresOf func(i int, f figure) []float64, suffixes ...string) error {
	if l.csvPath == "" {
		return nil
	}
	file, err := os.Create(l.csvPath)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	header := []string{"workload", "seed"}
	for _, f := range figures() {
		for _, suffix := range suffixes {
			header = append(header, f.name+suffix)
		}
	}
	records := [][]string{header}
	for i, c := range cases {
		record := []string{c.name, strconv.FormatUint(c.Seed, 10)}
		for _, f := range figures() {
			for _, value := range figuresOf(i, f) {
				record = append(record, formatValue(value))
			}
		}
		records = append(records, record)
	}
	if err := w.WriteAll(records); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func modelCases(cases []namedCase) []model.Case {
	list := make([]model.Case, len(cases))
	for i, c := range cases {
		list[i] = c.Case
	}
	return list
}

func formatValue(value float64) string {
	const digits = 6
	return strconv.FormatFloat(value, 'f', digits, 64)
}
