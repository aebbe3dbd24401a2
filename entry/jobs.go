package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base32"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/google/uuid"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/wire"
)

const (
	keyHeader = "Idempotency-Key"

	defaultListLimit = 100
	maxListLimit     = 1000
	idBytes          = 15
)

var idEncoding = base32.NewEncoding("0123456789abcdefghjkmnpqrstvwxyz").WithPadding(base32.NoPadding)

// jobID derives a job's identifier from its workspace and idempotency key, so that a repeated request refers to the
// same job.
func jobID(workspace, key string) string {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return "j" + idEncoding.EncodeToString(sum[:idBytes])
}

// submitJob handles POST /v1/jobs.
func (e *Entry) submitJob(r *http.Request) (response, error) {
	spec := &wire.JobSpec{}
	if err := api.Read(r.Body, spec); err != nil {
		return response{}, err
	}
	if err := api.CheckJob(spec, e.settings.Halls); err != nil {
		return response{}, err
	}
	key := r.Header.Get(keyHeader)
	if key == "" {
		key = uuid.NewString()
	}
	if err := api.CheckKey(key); err != nil {
		return response{}, err
	}
	view := e.View()
	if view.Config == nil {
		return response{}, api.NewError(api.KindStarting, "the configuration was not read yet").WithRetryAfter(retryAfter)
	}
	if err := checkService(view, spec); err != nil {
		return response{}, err
	}
	request := &wire.SubmitRequest{Id: jobID(spec.GetWorkspace(), key), Spec: spec, ConfigVersion: view.ConfigVersion()}
	if err := e.submissions.acquire(spec.GetWorkspace()); err != nil {
		return response{}, err
	}
	defer e.submissions.release(spec.GetWorkspace())
	return e.submit(r.Context(), view, request)
}

// checkService returns an error unless the job names no service, or one of its own workspace.
func checkService(view View, spec *wire.JobSpec) error {
	if spec.GetService() == "" {
		return nil
	}
	for _, s := range view.Config.GetServices() {
		if s.GetName() == spec.GetService() && s.GetWorkspace() == spec.GetWorkspace() {
			return nil
		}
	}
	return api.NewFieldError("service", "no such service in the workspace")
}

// submit offers a job to the halls in order of preference until one accepts it. A hall that did not answer may still
// have accepted it; the claim row of the job ensures that only one hall does.
func (e *Entry) submit(ctx context.Context, view View, request *wire.SubmitRequest) (response, error) {
	var last error
	for _, name := range chooseHalls(view, e.settings.Halls, request.GetSpec()) {
		reply, err := e.submitTo(ctx, name, request)
		if err != nil {
			last = err
			continue
		}
		refusal := reply.GetRefusal()
		switch refusal.GetKind() {
		case wire.Refusal_NONE:
			return jobResponse(reply.GetJob(), reply.GetCreated()), nil
		case wire.Refusal_OTHER_HALL:
			return e.existingJob(ctx, request)
		case wire.Refusal_QUEUE_FULL, wire.Refusal_OLD_CONFIGURATION:
			last = api.FromRefusal(refusal)
			continue
		default:
			return response{}, api.FromRefusal(refusal)
		}
	}
	return response{}, last
}

// submitTo offers a job to a hall.
func (e *Entry) submitTo(ctx context.Context, name string, request *wire.SubmitRequest) (*wire.SubmitReply, error) {
	job := sentJob{number: e.sentCount.Add(1), accelerators: accelerators(request.GetSpec())}
	e.deps.System.Root.Send(e.catalog, jobSent{hall: name, job: job})
	reply, err := callHolder[wire.SubmitReply](ctx, e.directory, name, "Submit", request)
	e.deps.System.Root.Send(e.catalog, jobAnswered{hall: name, number: job.number, at: clock.Now()})
	return reply, err
}

func jobResponse(job *wire.Job, created bool) response {
	status := http.StatusOK
	if created {
		status = http.StatusCreated
	}
	return response{status: status, body: job, etag: etag(job.GetVersion())}
}

// existingJob responds to a submission whose job already exists in some hall.
func (e *Entry) existingJob(ctx context.Context, request *wire.SubmitRequest) (response, error) {
	stored, found, err := hall.ReadJob(ctx, e.deps.Store, request.GetId())
	if err != nil || !found {
		return response{}, storeUnavailable()
	}
	if !bytes.Equal(stored.GetFingerprint(), hall.Fingerprint(request.GetSpec())) {
		return response{}, api.NewError(api.KindKeyReused, "the idempotency key was used for another request")
	}
	return jobResponse(stored.GetJob(), false), nil
}

func storeUnavailable() error {
	return api.NewError(api.KindStoreUnavailable, "the platform's table service does not answer").WithRetryAfter(retryAfter)
}

// getJob handles GET /v1/jobs/{id}.
func (e *Entry) getJob(r *http.Request) (response, error) {
	job, err := e.findJob(r.Context(), r.PathValue("id"))
	if err != nil {
		return response{}, err
	}
	return jobResponse(job, false), nil
}

// findJob finds a job in the table service, or by asking all halls while the table service is unavailable. It returns
// the holder's state of the job if possible, since that is newer than the row.
func (e *Entry) findJob(ctx context.Context, id string) (*wire.Job, error) {
	stored, found, err := hall.ReadJob(ctx, e.deps.Store, id)
	if err != nil {
		return e.findJobInHalls(ctx, id)
	}
	if !found {
		return nil, jobNotFound(id)
	}
	job := stored.GetJob()
	reply, err := callHolder[wire.JobReply](ctx, e.directory, job.GetHall(), "Get", &wire.GetJobRequest{Id: id})
	if err == nil && reply.GetRefusal() == nil {
		return reply.GetJob(), nil
	}
	return job, nil
}

func (e *Entry) findJobInHalls(ctx context.Context, id string) (*wire.Job, error) {
	complete := true
	for _, name := range e.settings.Halls {
		reply, err := callHolder[wire.JobReply](ctx, e.directory, name, "Get", &wire.GetJobRequest{Id: id})
		if err == nil && reply.GetRefusal() == nil {
			return reply.GetJob(), nil
		}
		complete = complete && err == nil
	}
	if complete {
		return nil, storeUnavailable()
	}
	return nil, api.NewError(api.KindHallUnavailable, "not every hall could be asked").WithRetryAfter(retryAfter)
}

func jobNotFound(id string) error {
	return api.NewError(api.KindNotFound, "no such job: "+id)
}

// cancelJob handles DELETE /v1/jobs/{id}.
func (e *Entry) cancelJob(r *http.Request) (response, error) {
	id := r.PathValue("id")
	job, err := e.findJob(r.Context(), id)
	if err != nil {
		return response{}, err
	}
	if job.GetState() >= wire.JobState_FINISHED {
		return jobResponse(job, false), nil
	}
	reply, err := callHolder[wire.JobReply](r.Context(), e.directory, job.GetHall(), "Cancel", &wire.CancelJobRequest{Id: id})
	if err != nil {
		return response{}, err
	}
	if failure := api.FromRefusal(reply.GetRefusal()); failure != nil {
		return response{}, failure
	}
	return jobResponse(reply.GetJob(), false), nil
}

// listJobs handles GET /v1/jobs.
func (e *Entry) listJobs(r *http.Request) (response, error) {
	limit, err := readLimit(r)
	if err != nil {
		return response{}, err
	}
	request := &wire.ListJobsRequest{Workspace: r.URL.Query().Get("workspace"), Limit: int32(limit)}
	list := &wire.JobList{}
	var mu sync.Mutex
	e.eachHall(func(name string) {
		reply, err := callHolder[wire.ListJobsReply](r.Context(), e.directory, name, "List", request)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || reply.GetRefusal() != nil {
			list.MissingHalls = append(list.MissingHalls, name)
			return
		}
		list.Jobs = append(list.Jobs, reply.GetJobs()...)
	})
	slices.Sort(list.MissingHalls)
	slices.SortFunc(list.Jobs, compareJobs)
	list.Jobs = list.Jobs[:min(limit, len(list.Jobs))]
	return response{status: http.StatusOK, body: list}, nil
}

// compareJobs orders jobs by creation time, newest first.
func compareJobs(a, b *wire.Job) int {
	if c := b.GetCreated().AsTime().Compare(a.GetCreated().AsTime()); c != 0 {
		return c
	}
	return strings.Compare(a.GetId(), b.GetId())
}

func readLimit(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultListLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxListLimit {
		return 0, api.NewFieldError("limit", "must be 1 to "+strconv.Itoa(maxListLimit))
	}
	return limit, nil
}

// eachHall calls do for all halls concurrently, and returns when all calls are done.
func (e *Entry) eachHall(do func(name string)) {
	var group sync.WaitGroup
	for _, name := range e.settings.Halls {
		group.Go(func() { do(name) })
	}
	group.Wait()
}

func etag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}
