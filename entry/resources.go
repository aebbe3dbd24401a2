package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/wire"
)

// resource is a named and versioned resource of the configuration.
type resource interface {
	proto.Message

	GetName() string
	GetVersion() uint64
}

// find returns the resource with a name and its index, or the index -1 if there is none.
func find[T resource](list []T, name string) (found T, index int) {
	index = slices.IndexFunc(list, func(item T) bool { return item.GetName() == name })
	if index < 0 {
		return found, index
	}
	return list[index], index
}

// put replaces or adds a resource in a list, which stays sorted by name.
func put[T resource](list []T, item T) []T {
	if _, index := find(list, item.GetName()); index >= 0 {
		list[index] = item
		return list
	}
	list = append(list, item)
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}

// remove deletes the resource with a name from a list.
func remove[T resource](list []T, name string) []T {
	return slices.DeleteFunc(list, func(item T) bool { return item.GetName() == name })
}

// storedConfig reads the configuration from the store, or returns the entry's active one if the store is unavailable.
func (e *Entry) storedConfig(ctx context.Context) (*wire.Configuration, error) {
	config, _, err := hall.ReadConfig(ctx, e.deps.Store)
	if err == nil {
		return config, nil
	}
	if view := e.View(); view.Config != nil {
		return view.Config, nil
	}
	return nil, storeUnavailable()
}

func resourceResponse(status int, item resource) response {
	return response{status: status, body: item, etag: etag(item.GetVersion())}
}

func putStatus(before uint64) int {
	if before == 0 {
		return http.StatusCreated
	}
	return http.StatusOK
}

func resourceNotFound(what, name string) error {
	return api.NewError(api.KindNotFound, "no such "+what+": "+name)
}

// checkBodyName returns an error if the name in the body differs from the one in the path. The body may omit it.
func checkBodyName(body, path string) error {
	if body != "" && body != path {
		return api.NewFieldError("name", "differs from the name in the path")
	}
	return nil
}

// listWorkspaces handles GET /v1/workspaces.
func (e *Entry) listWorkspaces(r *http.Request) (response, error) {
	config, err := e.storedConfig(r.Context())
	if err != nil {
		return response{}, err
	}
	return response{status: http.StatusOK, body: &wire.WorkspaceList{Workspaces: config.GetWorkspaces()}}, nil
}

// getWorkspace handles GET /v1/workspaces/{name}.
func (e *Entry) getWorkspace(r *http.Request) (response, error) {
	config, err := e.storedConfig(r.Context())
	if err != nil {
		return response{}, err
	}
	ws, index := find(config.GetWorkspaces(), r.PathValue("name"))
	if index < 0 {
		return response{}, resourceNotFound("workspace", r.PathValue("name"))
	}
	return resourceResponse(http.StatusOK, ws), nil
}

// putWorkspace handles PUT /v1/workspaces/{name}.
func (e *Entry) putWorkspace(r *http.Request) (response, error) {
	ws := &wire.Workspace{}
	if err := api.Read(r.Body, ws); err != nil {
		return response{}, err
	}
	if err := checkBodyName(ws.GetName(), r.PathValue("name")); err != nil {
		return response{}, err
	}
	ws.Name = r.PathValue("name")
	if err := api.CheckWorkspace(ws, e.settings.Halls); err != nil {
		return response{}, err
	}
	before := uint64(0)
	err := e.updateConfig(r.Context(), func(ctx context.Context, config *wire.Configuration) error {
		old, _ := find(config.GetWorkspaces(), ws.GetName())
		before = old.GetVersion()
		if err := preconditionOf(r).check(before); err != nil {
			return err
		}
		ws.Version = config.GetVersion()
		config.Workspaces = put(config.GetWorkspaces(), ws)
		return e.checkGuarantees(ctx, config, hallsOf(ws))
	})
	if err != nil {
		return response{}, err
	}
	return resourceResponse(putStatus(before), ws), nil
}

// deleteWorkspace handles DELETE /v1/workspaces/{name}.
func (e *Entry) deleteWorkspace(r *http.Request) (response, error) {
	name := r.PathValue("name")
	var old *wire.Workspace
	err := e.updateConfig(r.Context(), func(_ context.Context, config *wire.Configuration) error {
		found, index := find(config.GetWorkspaces(), name)
		if index < 0 {
			return resourceNotFound("workspace", name)
		}
		if err := preconditionOf(r).check(found.GetVersion()); err != nil {
			return err
		}
		if service := serviceOf(config, name); service != "" {
			return api.NewError(api.KindInUse, "service "+service+" belongs to the workspace")
		}
		old = found
		config.Workspaces = remove(config.GetWorkspaces(), name)
		return nil
	})
	if err != nil {
		return response{}, err
	}
	return resourceResponse(http.StatusOK, old), nil
}

// serviceOf returns the name of a service of a workspace, or "" if it has none.
func serviceOf(config *wire.Configuration, workspace string) string {
	for _, s := range config.GetServices() {
		if s.GetWorkspace() == workspace {
			return s.GetName()
		}
	}
	return ""
}

// listServices handles GET /v1/services.
func (e *Entry) listServices(r *http.Request) (response, error) {
	config, err := e.storedConfig(r.Context())
	if err != nil {
		return response{}, err
	}
	return response{status: http.StatusOK, body: &wire.ServiceList{Services: config.GetServices()}}, nil
}

// getService handles GET /v1/services/{name}.
func (e *Entry) getService(r *http.Request) (response, error) {
	config, err := e.storedConfig(r.Context())
	if err != nil {
		return response{}, err
	}
	s, index := find(config.GetServices(), r.PathValue("name"))
	if index < 0 {
		return response{}, resourceNotFound("service", r.PathValue("name"))
	}
	return resourceResponse(http.StatusOK, s), nil
}

// putService handles PUT /v1/services/{name}.
func (e *Entry) putService(r *http.Request) (response, error) {
	s := &wire.Service{}
	if err := api.Read(r.Body, s); err != nil {
		return response{}, err
	}
	if err := checkBodyName(s.GetName(), r.PathValue("name")); err != nil {
		return response{}, err
	}
	s.Name = r.PathValue("name")
	if err := api.CheckService(s); err != nil {
		return response{}, err
	}
	before := uint64(0)
	err := e.updateConfig(r.Context(), func(_ context.Context, config *wire.Configuration) error {
		old, _ := find(config.GetServices(), s.GetName())
		before = old.GetVersion()
		if err := preconditionOf(r).check(before); err != nil {
			return err
		}
		if _, index := find(config.GetWorkspaces(), s.GetWorkspace()); index < 0 {
			return api.NewFieldError("workspace", "no such workspace")
		}
		s.Version = config.GetVersion()
		config.Services = put(config.GetServices(), s)
		return nil
	})
	if err != nil {
		return response{}, err
	}
	return resourceResponse(putStatus(before), s), nil
}

// deleteService handles DELETE /v1/services/{name}.
func (e *Entry) deleteService(r *http.Request) (response, error) {
	name := r.PathValue("name")
	var old *wire.Service
	err := e.updateConfig(r.Context(), func(_ context.Context, config *wire.Configuration) error {
		found, index := find(config.GetServices(), name)
		if index < 0 {
			return resourceNotFound("service", name)
		}
		if err := preconditionOf(r).check(found.GetVersion()); err != nil {
			return err
		}
		old = found
		config.Services = remove(config.GetServices(), name)
		return nil
	})
	if err != nil {
		return response{}, err
	}
	return resourceResponse(http.StatusOK, old), nil
}
