package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"hollyfork.example/wire"
)

// hallStatuses requests the statuses of all halls, with or without their workers, and also returns the names of the
// halls that do not answer. Entries do not cache workers: the list grows with the size of a hall, and is only
// requested when a caller needs it.
func (e *Entry) hallStatuses(ctx context.Context, withWorkers bool) (list []*wire.HallStatus, missing []string) {
	request := &wire.HallStatusRequest{
		Entry:         e.settings.Name,
		ConfigVersion: e.View().ConfigVersion(),
		WithWorkers:   withWorkers,
	}
	var mu sync.Mutex
	e.eachHall(func(name string) {
		status, err := e.askStatus(ctx, name, request)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || status.GetRefusal() != nil {
			missing = append(missing, name)
			return
		}
		list = append(list, status)
	})
	slices.Sort(missing)
	slices.SortFunc(list, func(a, b *wire.HallStatus) int { return strings.Compare(a.GetHall(), b.GetHall()) })
	return list, missing
}

// listHalls handles GET /v1/halls.
func (e *Entry) listHalls(r *http.Request) (response, error) {
	statuses, missing := e.hallStatuses(r.Context(), false)
	list := &wire.HallList{MissingHalls: missing}
	for _, s := range statuses {
		list.Halls = append(list.Halls, &wire.Hall{
			Name:               s.GetHall(),
			Holder:             s.GetHolder(),
			Epoch:              s.GetEpoch(),
			ConfigVersion:      s.GetConfigVersion(),
			QueuedJobs:         s.GetQueuedJobs(),
			RunningJobs:        s.GetRunningJobs(),
			FreeAccelerators:   s.GetFreeAccelerators(),
			QueuedAccelerators: s.GetQueuedAccelerators(),
			WorkersSetAside:    s.GetWorkersSetAside(),
			StoreAvailable:     s.GetStoreAvailable(),

			GuaranteedAcceleratorsShort: s.GetGuaranteedAcceleratorsShort(),
		})
	}
	return response{status: http.StatusOK, body: list}, nil
}

// listWorkers handles GET /v1/workers.
func (e *Entry) listWorkers(r *http.Request) (response, error) {
	statuses, missing := e.hallStatuses(r.Context(), true)
	list := &wire.WorkerList{MissingHalls: missing}
	for _, status := range statuses {
		list.Workers = append(list.Workers, status.GetWorkers()...)
	}
	slices.SortFunc(list.Workers, func(a, b *wire.Worker) int { return strings.Compare(a.GetName(), b.GetName()) })
	return response{status: http.StatusOK, body: list}, nil
}

// drainWorker handles POST /v1/workers/{name}/drain.
func (e *Entry) drainWorker(r *http.Request) (response, error) {
	return e.setDrained(r, true)
}

// undrainWorker handles POST /v1/workers/{name}/undrain.
func (e *Entry) undrainWorker(r *http.Request) (response, error) {
	return e.setDrained(r, false)
}

// setDrained drains or undrains a worker in the configuration. It does nothing if the worker is already in that
// state.
func (e *Entry) setDrained(r *http.Request, drained bool) (response, error) {
	name := r.PathValue("name")
	worker, err := e.findWorker(r.Context(), name)
	if err != nil {
		return response{}, err
	}
	config, err := e.storedConfig(r.Context())
	if err != nil {
		return response{}, err
	}
	if slices.Contains(config.GetDrainedWorkers(), name) != drained {
		err = e.updateConfig(r.Context(), func(_ context.Context, config *wire.Configuration) error {
			config.DrainedWorkers = setMember(config.GetDrainedWorkers(), name, drained)
			return nil
		})
	}
	if err != nil {
		return response{}, err
	}
	return response{status: http.StatusOK, body: worker}, nil
}

// setMember returns the sorted list of names with a name added or removed.
func setMember(names []string, name string, present bool) []string {
	names = slices.DeleteFunc(names, func(other string) bool { return other == name })
	if present {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// findWorker returns a worker. It only reports that the worker does not exist if all halls have answered.
func (e *Entry) findWorker(ctx context.Context, name string) (*wire.Worker, error) {
	statuses, missing := e.hallStatuses(ctx, true)
	for _, status := range statuses {
		for _, w := range status.GetWorkers() {
			if w.GetName() == name {
				return w, nil
			}
		}
	}
	if len(missing) > 0 {
		return nil, hallUnavailable(missing[0])
	}
	return nil, resourceNotFound("worker", name)
}

// configurationStatus handles GET /v1/configuration. It reports which processes have activated the newest
// configuration.
func (e *Entry) configurationStatus(r *http.Request) (response, error) {
	config, err := e.storedConfig(r.Context())
	if err != nil {
		return response{}, err
	}
	status := &wire.ConfigurationStatus{Version: config.GetVersion()}
	count := func(process string, version uint64) {
		status.Expected++
		if version >= config.GetVersion() {
			status.Confirmed++
			return
		}
		status.Behind = append(status.Behind, process)
	}
	statuses, missing := e.hallStatuses(r.Context(), true)
	status.MissingHalls = missing
	entries := map[string]uint64{e.settings.Name: e.View().ConfigVersion()}
	for _, hallStatus := range statuses {
		count("holder of "+hallStatus.GetHall(), hallStatus.GetConfigVersion())
		for _, w := range hallStatus.GetWorkers() {
			count("agent of "+w.GetName(), w.GetConfigVersion())
		}
		for _, seen := range hallStatus.GetEntries() {
			entries[seen.GetEntry()] = max(entries[seen.GetEntry()], seen.GetConfigVersion())
		}
	}
	for name, version := range entries {
		count("entry "+name, version)
	}
	slices.Sort(status.Behind)
	return response{status: http.StatusOK, body: status}, nil
}
