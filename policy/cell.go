package policy

import "math/bits"

const (
	levels   = 4
	allCells = uint8(0xff)
)

// cellCounts counts cells by level: index 0 is for size 1, index 3 for size 8.
type cellCounts [levels]int

// maximalCells counts, for each mask of accelerators, the aligned cells by level when the mask is split
// into the largest possible ones.
var maximalCells = buildMaximalCells()

func buildMaximalCells() [256]cellCounts {
	var table [256]cellCounts
	for mask := range table {
		rest := uint8(mask)
		for level := levels - 1; level >= 0; level-- {
			rest = countLevel(&table[mask], rest, level)
		}
	}
	return table
}

// countLevel counts the whole cells of a level in a mask and returns the mask without them.
func countLevel(counts *cellCounts, mask uint8, level int) uint8 {
	size := 1 << level
	for first := 0; first < MaxCell; first += size {
		cell := cellMask(first, size)
		if mask&cell == cell {
			counts[level]++
			mask &^= cell
		}
	}
	return mask
}

// cellMask returns the mask of a cell's accelerators.
func cellMask(first, size int) uint8 {
	return uint8(uint(1)<<size-1) << first
}

// workerMask returns the mask of all accelerators of a worker.
func workerMask(accelerators int) uint8 {
	return uint8(uint(1)<<accelerators - 1)
}

// levelOf returns the level of the smallest cell with at least the given number of accelerators, which
// must be positive.
func levelOf(accelerators int) int {
	return bits.Len(uint(accelerators - 1))
}

// countCells returns how many disjoint cells of a level fit into a mask.
func countCells(mask uint8, level int) int {
	total := 0
	counts := &maximalCells[mask]
	for l := level; l < levels; l++ {
		total += counts[l] << (l - level)
	}
	return total
}

// bestCell returns the first accelerator of a cell of a level in a mask. The cell is cut from the
// smallest maximal cell that contains one, to limit fragmentation. ok is false if there is none.
func bestCell(mask uint8, level int) (first int, ok bool) {
	counts := &maximalCells[mask]
	for l := level; l < levels; l++ {
		if counts[l] > 0 {
			return firstMaximal(mask, l), true
		}
	}
	return 0, false
}

// firstMaximal returns the first accelerator of the first cell of a level in a mask that is not part of
// a larger whole cell.
func firstMaximal(mask uint8, level int) int {
	for l := levels - 1; l > level; l-- {
		var counts cellCounts
		mask = countLevel(&counts, mask, l)
	}
	size := 1 << level
	for first := 0; first < MaxCell; first += size {
		cell := cellMask(first, size)
		if mask&cell == cell {
			return first
		}
	}
	return 0
}

// fits reports whether the wanted cells can be cut from the given maximal cells. Each size divides the
// next larger one, so cutting the largest cells first gives an exact answer.
func fits(have, want cellCounts) bool {
	spare := 0
	for level := levels - 1; level >= 0; level-- {
		spare = spare*2 + have[level] - want[level]
		if spare < 0 {
			return false
		}
	}
	return true
}
