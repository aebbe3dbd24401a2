package policy

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// jobKind groups jobs that are equivalent for placement: if one does not fit, no other of its kind
// does.
type jobKind struct {
	workspace   string
	priority    Priority
	shape       Shape
	tasks       int
	adjacency   Adjacency
	preemptible bool
	preempted   bool
}

// queuedJob is a waiting job.
type queuedJob struct {
	job Job
	// deadline orders the queue; the earliest goes first.
	deadline time.Time
	sequence uint64
	// startFailures counts failed starts.
	startFailures int
	notBefore     time.Time
	preemptions   int
	cancelled     bool
	bucket        *bucket
}

// bucket is a priority queue of the waiting jobs of one kind.
type bucket struct {
	kind jobKind
	jobs jobHeap
	live int
	// blockedGeneration is the generation of the hall in which the first job did not fit.
	blockedGeneration uint64
	reason            Reason
}

// jobHeap implements heap.Interface.
type jobHeap []*queuedJob

func (q jobHeap) Len() int           { return len(q) }
func (q jobHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q jobHeap) Less(i, j int) bool { return before(q[i], q[j]) }

// Push implements heap.Interface.
func (q *jobHeap) Push(x any) { *q = append(*q, x.(*queuedJob)) }

// Pop implements heap.Interface.
func (q *jobHeap) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return item
}

func before(a, b *queuedJob) bool {
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

func jobKindOf(q *queuedJob) jobKind {
	return jobKind{
		workspace:   q.job.Workspace,
		priority:    q.job.Priority,
		shape:       q.job.Shape,
		tasks:       q.job.Tasks,
		adjacency:   q.job.Adjacency,
		preemptible: q.job.Preemptible(),
		preempted:   q.preemptions > 0,
	}
}

// deadlineOf returns the time by which a job should start: the target wait of its priority after
// submission, or sooner if it has to finish by a given time. The deadline never changes, so a job that
// waits long enough goes before all later ones.
func (h *Hall) deadlineOf(j Job) time.Time {
	deadline := j.Submitted.Add(h.settings.TargetWait[j.Priority])
	if j.FinishBy.IsZero() {
		return deadline
	}
	latest := j.FinishBy.Add(-j.DeclaredRunTime).Add(-h.settings.FinishMargin)
	if latest.Before(deadline) {
		return latest
	}
	return deadline
}

// enqueue adds a job to the bucket of its kind.
func (h *Hall) enqueue(q *queuedJob) {
	k := jobKindOf(q)
	b, ok := h.buckets[k]
	if !ok {
		b = &bucket{kind: k}
		h.buckets[k] = b
	}
	q.bucket = b
	heap.Push(&b.jobs, q)
	b.live++
	if b.jobs[0] == q {
		b.blockedGeneration = 0
	}
}

// head returns the first job of the bucket that is not cancelled, or nil.
func (b *bucket) head() *queuedJob {
	for len(b.jobs) > 0 {
		if !b.jobs[0].cancelled {
			return b.jobs[0]
		}
		heap.Pop(&b.jobs)
	}
	return nil
}

// pop removes the head.
func (b *bucket) pop() {
	q := heap.Pop(&b.jobs).(*queuedJob)
	q.bucket = nil
	b.live--
}

// orderedBuckets returns the buckets to try, in order of urgency. Buckets of workspaces that borrow a
// larger share of the hall go later.
func (h *Hall) orderedBuckets() []*bucket {
	candidates := make([]bucketCandidate, 0, len(h.buckets))
	for k, b := range h.buckets {
		head := b.head()
		if head == nil {
			delete(h.buckets, k)
			continue
		}
		if b.blockedGeneration == h.generation {
			continue
		}
		candidates = append(candidates, bucketCandidate{bucket: b, key: h.orderKey(head), head: head})
	}
	slices.SortFunc(candidates, compareCandidates)
	ordered := make([]*bucket, len(candidates))
	for i, c := range candidates {
		ordered[i] = c.bucket
	}
	return ordered
}

type bucketCandidate struct {
	bucket *bucket
	key    time.Time
	head   *queuedJob
}

func compareCandidates(a, b bucketCandidate) int {
	urgentA := a.head.job.Priority == Urgent
	urgentB := b.head.job.Priority == Urgent
	if urgentA != urgentB {
		if urgentA {
			return -1
		}
		return 1
	}
	if c := a.key.Compare(b.key); c != 0 {
		return c
	}
	return cmp.Compare(a.head.sequence, b.head.sequence)
}

// orderKey returns a job's deadline, delayed in proportion to the share of the hall that its workspace
// borrows.
func (h *Hall) orderKey(q *queuedJob) time.Time {
	if h.accelerators == 0 {
		return q.deadline
	}
	ws := h.workspace(q.job.Workspace)
	share := float64(ws.borrowed) / float64(h.accelerators)
	return q.deadline.Add(time.Duration(share * float64(h.settings.FairShareDelay)))
}
