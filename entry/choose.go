package entry

import (
	"cmp"
	"slices"

	"hollyfork.example/wire"
)

// chooseHalls returns the halls to offer a job to, in order of preference: first the halls in which its workspace has
// a guarantee that fits the job, then the others, each group by the accelerators that are left after the waiting
// work. Halls without a recent status come last. A job that names a hall is only offered to that hall.
func chooseHalls(view View, halls []string, spec *wire.JobSpec) []string {
	if spec.GetHall() != "" {
		return []string{spec.GetHall()}
	}
	list := slices.Clone(halls)
	slices.SortStableFunc(list, func(a, b string) int {
		if c := compareBool(view.Halls[a] != nil, view.Halls[b] != nil); c != 0 {
			return c
		}
		if c := compareBool(view.guarantees(a, spec), view.guarantees(b, spec)); c != 0 {
			return c
		}
		return cmp.Compare(view.freeAccelerators(b), view.freeAccelerators(a))
	})
	return list
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// guarantees reports whether a job's workspace has a guarantee in a hall whose cells are large enough for one of the
// job's tasks.
func (v View) guarantees(hall string, spec *wire.JobSpec) bool {
	for _, ws := range v.Config.GetWorkspaces() {
		if ws.GetName() != spec.GetWorkspace() {
			continue
		}
		return slices.ContainsFunc(ws.GetGuarantees(), func(g *wire.Guarantee) bool {
			return g.GetHall() == hall && g.GetCellAccelerators() >= spec.GetShape().GetAccelerators()
		})
	}
	return false
}

// freeAccelerators returns the number of free accelerators of a hall, less those needed by the jobs that wait there
// or were sent there since its last status. It may be negative.
func (v View) freeAccelerators(hall string) int32 {
	status := v.Halls[hall]
	return status.GetFreeAccelerators() - status.GetQueuedAccelerators() - v.Sent[hall]
}

// accelerators returns the number of accelerators that all tasks of a job need in total.
func accelerators(spec *wire.JobSpec) int32 {
	return max(1, spec.GetTasks()) * spec.GetShape().GetAccelerators()
}
