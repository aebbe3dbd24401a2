package policy

import "math/bits"

const wordBits = 64

// bitset is a set of small integers.
type bitset []uint64

func (b *bitset) set(i int, member bool) {
	for i/wordBits >= len(*b) {
		*b = append(*b, 0)
	}
	if member {
		(*b)[i/wordBits] |= 1 << (i % wordBits)
		return
	}
	(*b)[i/wordBits] &^= 1 << (i % wordBits)
}

// count returns the number of members.
func (b bitset) count() int {
	total := 0
	for _, word := range b {
		total += bits.OnesCount64(word)
	}
	return total
}

// next returns the smallest member that is at least i, or -1.
func (b bitset) next(i int) int {
	word := i / wordBits
	if word >= len(b) {
		return -1
	}
	rest := b[word] &^ (1<<(i%wordBits) - 1)
	for rest == 0 {
		word++
		if word >= len(b) {
			return -1
		}
		rest = b[word]
	}
	return word*wordBits + bits.TrailingZeros64(rest)
}

// cellIndex finds the workers of a class that have cells of a given level, and counts the cells of all
// workers.
type cellIndex struct {
	masks  []uint8
	counts cellCounts
	// byLevel holds the workers that have a maximal cell of exactly that level.
	byLevel [levels]bitset
}

// update replaces the mask of a worker.
func (x *cellIndex) update(worker int, mask uint8) {
	for worker >= len(x.masks) {
		x.masks = append(x.masks, 0)
	}
	old := x.masks[worker]
	if old == mask {
		return
	}
	x.masks[worker] = mask
	for level := range levels {
		before := maximalCells[old][level]
		after := maximalCells[mask][level]
		x.counts[level] += after - before
		if (before > 0) != (after > 0) {
			x.byLevel[level].set(worker, after > 0)
		}
	}
}

// each calls visit for the workers that have a cell of a level, until visit returns false. Workers with
// the smallest sufficient cells come first. A worker with maximal cells of several levels is visited
// once for each.
func (x *cellIndex) each(level int, visit func(worker int) bool) {
	for l := level; l < levels; l++ {
		for w := x.byLevel[l].next(0); w >= 0; w = x.byLevel[l].next(w + 1) {
			if !visit(w) {
				return
			}
		}
	}
}
