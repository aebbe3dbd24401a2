package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hollyfork.example/hollyfork/job"
)

// maxRandomRate limits the arrival rate of each kind in a random workload, in jobs per second.
const maxRandomRate = 15

// RandomWorkload draws a workload from wide ranges: its pool, one to four kinds of jobs, and up to three troubles.
// The jobs demand 0.5 to 1.3 times the pool's accelerators, or less where maxRandomRate limits them. The same seed
// gives the same workload.
func RandomWorkload(seed uint64) Workload {
	random := rand.New(rand.NewPCG(seed, 0))
	w := Workload{Length: 30 * time.Second, Pool: randomPool(random)}
	kinds := 1 + random.IntN(4)
	for i := range kinds {
		w.Kinds = append(w.Kinds, randomKind(random, i, w.Pool))
	}
	load := uniform(random, 0.5, 1.3)
	for i := range w.Kinds {
		k := &w.Kinds[i]
		k.Rate = min(load/float64(kinds)*float64(w.Pool.Workers*w.Pool.WorkerCapacity.Accelerators)/k.meanSize(), maxRandomRate)
	}
	for range random.IntN(4) {
		w.Troubles = append(w.Troubles, randomTrouble(random, w))
	}
	return w
}

func randomPool(random *rand.Rand) Pool {
	speeds := [][]float64{{1}, {0.8, 1, 1.25}, {0.5, 1, 1, 1}}
	return Pool{
		Workers:            11 + random.IntN(60),
		WorkersPerRack:     3 + random.IntN(9),
		WorkerCapacity:     job.Shape{CPUMillis: 128_000, MemoryMB: 512_000, Accelerators: 8},
		Speeds:             speeds[random.IntN(len(speeds))],
		StartDelay:         uniformDuration(random, 0.05, 0.5),
		StopDelay:          uniformDuration(random, 0.1, 1),
		CheckpointInterval: uniformDuration(random, 0.3, 3),
		StoreLatency:       uniformDuration(random, 0.002, 0.02),
	}
}

func randomKind(random *rand.Rand, number int, p Pool) JobKind {
	sizes := [][]int{{1}, {1, 2, 4, 8}, {1, 2, 4, 8, 8}, {2, 4}, {8}}
	k := JobKind{
		Name:            fmt.Sprintf("kind-%d", number),
		Swing:           0.5 * random.Float64(),
		Period:          uniformDuration(random, 5, 20),
		Priority:        number % 3,
		Attempts:        3 + random.IntN(3),
		MeanTasks:       uniform(random, 1, 20),
		Accelerators:    sizes[random.IntN(len(sizes))],
		MeanWork:        uniformDuration(random, 0.5, 10),
		WorkSpread:      0.6 * random.Float64(),
		EstimateError:   0.5 * random.Float64(),
		GangShare:       math.Round(random.Float64()),
		SameRackShare:   random.Float64(),
		CheckpointShare: random.Float64(),
		FailureShare:    0.03 * random.Float64(),
		Stretch:         uniform(random, 1.5, 4),
		Goal:            uniformDuration(random, 0.2, 4),
		Value:           uniform(random, 1, 4),
		LateValueShare:  0.5 * random.Float64(),
	}
	k.MaxWork = 3 * k.MeanWork
	// A gang takes at most half of the pool.
	k.MaxTasks = max(1, p.Workers/2)
	k.Shape = job.Shape{CPUMillis: 1000 * (1 + random.IntN(15)), MemoryMB: 1000 * (1 + random.IntN(60))}
	return k
}

func randomTrouble(random *rand.Rand, w Workload) Trouble {
	length := uniform(random, 2, 7)
	span := Span{
		At:  uniformDuration(random, 0, w.Length.Seconds()-length),
		For: time.Duration(length * float64(time.Second)),
	}
	share := uniform(random, 0.05, 0.2)
	switch random.IntN(7) {
	case 0:
		return SlowWorkers{Span: span, Share: share, Factor: uniform(random, 2, 6)}
	case 1:
		return FailingWorkers{Span: span, Share: share}
	case 2:
		return CrashingWorkers{Span: span, Share: share}
	case 3:
		return HolderKilled{Span: span}
	case 4:
		return SlowStore{Span: span, Factor: uniform(random, 10, 60)}
	case 5:
		return SilentStore{Span: span}
	default:
		return Burst{Span: span, Of: w.Kinds[random.IntN(len(w.Kinds))].Name, Factor: uniform(random, 1.5, 4)}
	}
}

func uniform(random *rand.Rand, low, high float64) float64 {
	return low + (high-low)*random.Float64()
}

// uniformDuration draws a duration between two numbers of seconds.
func uniformDuration(random *rand.Rand, low, high float64) time.Duration {
	return time.Duration(uniform(random, low, high) * float64(time.Second)).Round(time.Millisecond)
}
