// Package client calls the resource API over HTTP.
package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/wire"
)

const (
	// KindUnreachable is the kind of the error that is returned if no entry answers.
	KindUnreachable = "unreachable"

	requestTimeout   = 30 * time.Second
	maxResponseBytes = 16 << 20
)

// Client calls the entries at an address. Create it with New. It is safe for concurrent use. Only Watch retries
// failed calls.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the API at a base URL.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// request is an HTTP request to the API.
type request struct {
	method string
	path   string
	header http.Header
	body   proto.Message
}

// do sends a request and decodes the response into result. It returns problem details as an *api.Error.
func (c *Client) do(ctx context.Context, r request, result proto.Message) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, unreachable(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return response.StatusCode, problemError(response, content)
	}
	return response.StatusCode, api.Unmarshal(content, result)
}

func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	content := []byte{}
	if r.body != nil {
		var err error
		if content, err = api.Marshal(r.body); err != nil {
			return nil, err
		}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(content))
	if err != nil {
		return nil, unreachable(err)
	}
	if r.header != nil {
		httpRequest.Header = r.header
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, unreachable(err)
	}
	return response, nil
}

func unreachable(err error) error {
	return api.NewError(KindUnreachable, err.Error()).WithOp("call")
}

// problemError decodes the problem details of a response.
func problemError(response *http.Response, content []byte) error {
	problem := &wire.Problem{}
	if err := api.Unmarshal(content, problem); err != nil {
		return api.NewError(api.KindInternal, "status "+response.Status)
	}
	failure := api.NewError(problem.GetKind(), problem.GetDetail())
	failure.Field = problem.GetField()
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}

// Submit submits a job under an idempotency key, and reports whether this call created it.
func (c *Client) Submit(ctx context.Context, key string, spec *wire.JobSpec) (job *wire.Job, created bool, err error) {
	job = &wire.Job{}
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	status, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/jobs", header: header, body: spec}, job)
	return job, status == http.StatusCreated, err
}

// Job returns a job.
func (c *Client) Job(ctx context.Context, id string) (*wire.Job, error) {
	job := &wire.Job{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id)}, job)
	return job, err
}

// Jobs returns at most limit jobs of a workspace, or of all workspaces if workspace is empty.
func (c *Client) Jobs(ctx context.Context, workspace string, limit int) (*wire.JobList, error) {
	query := url.Values{"workspace": {workspace}, "limit": {strconv.Itoa(limit)}}
	list := &wire.JobList{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/jobs?" + query.Encode()}, list)
	return list, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (*wire.Job, error) {
	job := &wire.Job{}
	_, err := c.do(ctx, request{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(id)}, job)
	return job, err
}

// Workspaces returns all workspaces.
func (c *Client) Workspaces(ctx context.Context) (*wire.WorkspaceList, error) {
	list := &wire.WorkspaceList{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/workspaces"}, list)
	return list, err
}

// Services returns all services.
func (c *Client) Services(ctx context.Context) (*wire.ServiceList, error) {
	list := &wire.ServiceList{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/services"}, list)
	return list, err
}

// Halls returns the halls that answered, and the names of the others.
func (c *Client) Halls(ctx context.Context) (*wire.HallList, error) {
	list := &wire.HallList{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/halls"}, list)
	return list, err
}

// Workers returns the workers of the halls that answered, and the names of the other halls.
func (c *Client) Workers(ctx context.Context) (*wire.WorkerList, error) {
	list := &wire.WorkerList{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/workers"}, list)
	return list, err
}

// Configuration returns which processes have activated the newest configuration.
func (c *Client) Configuration(ctx context.Context) (*wire.ConfigurationStatus, error) {
	status := &wire.ConfigurationStatus{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/configuration"}, status)
	return status, err
}

// PutWorkspace creates a workspace if version is 0, and else replaces the given version of it.
func (c *Client) PutWorkspace(ctx context.Context, ws *wire.Workspace, version uint64) (*wire.Workspace, error) {
	result := &wire.Workspace{}
	_, err := c.do(ctx, putRequest("/v1/workspaces/"+url.PathEscape(ws.GetName()), ws, version), result)
	return result, err
}

// PutService creates a service if version is 0, and else replaces the given version of it.
func (c *Client) PutService(ctx context.Context, s *wire.Service, version uint64) (*wire.Service, error) {
	result := &wire.Service{}
	_, err := c.do(ctx, putRequest("/v1/services/"+url.PathEscape(s.GetName()), s, version), result)
	return result, err
}

func putRequest(path string, body proto.Message, version uint64) request {
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	return request{method: http.MethodPut, path: path, header: header, body: body}
}

// SetDrained drains or undrains a worker. A drained worker gets no new work.
func (c *Client) SetDrained(ctx context.Context, worker string, drained bool) (*wire.Worker, error) {
	verb := "/undrain"
	if drained {
		verb = "/drain"
	}
	result := &wire.Worker{}
	_, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/workers/" + url.PathEscape(worker) + verb}, result)
	return result, err
}
