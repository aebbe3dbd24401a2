package policy

import (
	"cmp"
	"slices"
)

// ranked is a rack or worker with the number of tasks that it can take.
type ranked[T any] struct {
	item     T
	capacity int
}

// tightest sorts items by capacity, the smallest first, and returns at most searchLimit of them. The
// sort is stable.
func tightest[T any](list []ranked[T]) []T {
	slices.SortStableFunc(list, func(a, b ranked[T]) int { return cmp.Compare(a.capacity, b.capacity) })
	if len(list) > searchLimit {
		list = list[:searchLimit]
	}
	items := make([]T, len(list))
	for i, r := range list {
		items[i] = r.item
	}
	return items
}
