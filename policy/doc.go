// Package policy decides which jobs of a hall run on which workers.
//
// It is pure: the caller reports events with their times to a Hall, and Decide returns a list of
// actions to take. The package does no input or output, starts no goroutine and reads no clock; the
// same calls give the same actions.
//
// # Cells
//
// The accelerators of a worker are split into aligned cells of 1, 2, 4 or 8, as in a buddy allocator:
// two free neighbours of one size form a free cell of the next size. A cell includes its share of the
// worker's processors, memory and slots. A task takes one cell or, if it needs no accelerator, some of
// the worker's CPU slots, which belong to no accelerator.
//
// # Guarantees
//
// A workspace's guarantee is a number of cells of each size. A guaranteed cell is bound to a physical
// cell only when the workspace first uses it. The cells that are free, or lent to preemptible jobs,
// must at all times be enough for all unbound guaranteed cells together. A job that is not preemptible
// is therefore placed beyond its workspace's guarantee only if they still are enough afterwards. The
// design follows the guaranteed cells of HiveD (OSDI 2020).
package policy
