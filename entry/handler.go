package entry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/api"
)

const (
	contentTypeJSON    = "application/json"
	contentTypeProblem = "application/problem+json"
	contentTypeStream  = "application/x-ndjson"
)

// response is the response to a successful request.
type response struct {
	status int
	body   proto.Message
	// etag is the ETag header for the version of the resource, or empty.
	etag string
}

// endpoint handles a request. An *api.Error that it returns is sent to the caller.
type endpoint func(r *http.Request) (response, error)

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/jobs", e.limited(e.submitJob))
	mux.Handle("GET /v1/jobs", e.limited(e.listJobs))
	mux.Handle("GET /v1/jobs/{id}", e.limited(e.getJob))
	mux.Handle("DELETE /v1/jobs/{id}", e.limited(e.cancelJob))
	mux.HandleFunc("GET /v1/watch", e.watch)

	mux.Handle("GET /v1/workspaces", e.limited(e.listWorkspaces))
	mux.Handle("GET /v1/workspaces/{name}", e.limited(e.getWorkspace))
	mux.Handle("PUT /v1/workspaces/{name}", e.limited(e.putWorkspace))
	mux.Handle("DELETE /v1/workspaces/{name}", e.limited(e.deleteWorkspace))

	mux.Handle("GET /v1/services", e.limited(e.listServices))
	mux.Handle("GET /v1/services/{name}", e.limited(e.getService))
	mux.Handle("PUT /v1/services/{name}", e.limited(e.putService))
	mux.Handle("DELETE /v1/services/{name}", e.limited(e.deleteService))

	mux.Handle("GET /v1/halls", e.limited(e.listHalls))
	mux.Handle("GET /v1/workers", e.limited(e.listWorkers))
	mux.Handle("POST /v1/workers/{name}/drain", e.limited(e.drainWorker))
	mux.Handle("POST /v1/workers/{name}/undrain", e.limited(e.undrainWorker))
	mux.Handle("GET /v1/configuration", e.limited(e.configurationStatus))

	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.HandleFunc("/", e.notFound)
	return mux
}

// limited returns a handler that runs an endpoint. If the limit on concurrent requests is reached, it instead
// responds immediately with an error and a Retry-After header.
func (e *Entry) limited(do endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case e.slots <- struct{}{}:
			defer func() { <-e.slots }()
		default:
			e.writeError(w, api.NewError(api.KindOverloaded, "too many requests are at work").WithRetryAfter(retryAfter))
			return
		}
		a, err := do(r)
		if err != nil {
			e.writeError(w, err)
			return
		}
		e.writeResponse(w, a)
	})
}

// countResponse counts a response by its status and, for an error, its kind.
func (e *Entry) countResponse(status int, kind string) {
	name := fmt.Sprintf(`hollyfork_entry_answers_total{status="%d",kind=%q}`, status, kind)
	e.deps.Metrics.GetOrCreateCounter(name).Inc()
}

func (e *Entry) writeResponse(w http.ResponseWriter, a response) {
	e.countResponse(a.status, "")
	content, err := api.Marshal(a.body)
	if err != nil {
		e.writeError(w, err)
		return
	}
	if a.etag != "" {
		w.Header().Set("ETag", a.etag)
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(a.status)
	_, _ = w.Write(append(content, '\n'))
}

// writeError responds with problem details. Errors other than *api.Error are logged and not shown to the caller.
func (e *Entry) writeError(w http.ResponseWriter, err error) {
	var failure *api.Error
	if !errors.As(err, &failure) {
		e.deps.Logger.Error().Err(err).Msg("entry: a request failed with an internal error")
		failure = api.NewError(api.KindInternal, "the request failed")
	}
	e.countResponse(failure.Status(), failure.Kind)
	content, marshalErr := api.Marshal(failure.Problem())
	if marshalErr != nil {
		http.Error(w, "", http.StatusInternalServerError)
		return
	}
	if seconds := failure.RetryAfterSeconds(); seconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set("Content-Type", contentTypeProblem)
	w.WriteHeader(failure.Status())
	_, _ = w.Write(append(content, '\n'))
}

func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	e.writeError(w, api.NewError(api.KindNotFound, "no such path or method: "+r.Method+" "+r.URL.Path))
}

// ready handles GET /readyz. The entry is ready if it has read a configuration and is not about to stop.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() {
		e.writeError(w, api.NewError(api.KindOverloaded, "the entry is about to stop").WithRetryAfter(retryAfter))
		return
	}
	if e.View().Config == nil {
		e.writeError(w, api.NewError(api.KindStarting, "the configuration was not read yet").WithRetryAfter(retryAfter))
		return
	}
	w.WriteHeader(http.StatusOK)
}
