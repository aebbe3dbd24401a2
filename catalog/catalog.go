// Package catalog represents the active configuration: queues, workspaces with their keys and guarantees, and
// the limits of callers' requests. A catalog is immutable; a newer configuration is another catalog.
package catalog

import (
	"strings"

	"hollyfork.example/hollyfork/job"
)

type (
	// Queue is a queue to which callers submit jobs, and whose tasks run on the workers of one pool.
	Queue struct {
		Name string
		// Host and Prefix are the host and the path prefix of the requests to the queue.
		Host   string
		Prefix string
		// Pool is the name of the pool that runs the tasks.
		Pool  string
		Terms job.Terms
		// Public is true if requests to the queue need no key.
		Public bool
	}

	// Workspace is a tenant.
	Workspace struct {
		Name string
		Keys []string
		// GuaranteedAccelerators is the number of accelerators that the urgent jobs of the workspace can always
		// get.
		GuaranteedAccelerators int
	}

	// Limits are the limits of callers' requests.
	Limits struct {
		// MaxBodyBytes is the maximum size of a request's body.
		MaxBodyBytes int
	}

	// Catalog is one version of the configuration. The zero value is empty and has version 0.
	Catalog struct {
		Version    uint64
		Queues     []Queue
		Workspaces []Workspace
		// Pools are the names of all pools.
		Pools  []string
		Limits Limits
	}
)

// Match returns the queue for the host and path of a request. If several queues match, it returns the one with
// the longest prefix.
func (c *Catalog) Match(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Queue returns the queue with a name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// WorkspaceByKey returns the workspace that an API key belongs to.
func (c *Catalog) WorkspaceByKey(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	for _, ws := range c.Workspaces {
		for _, known := range ws.Keys {
			if known == key {
				return ws, true
			}
		}
	}
	return Workspace{}, false
}

// GuaranteedAccelerators returns the number of accelerators that are guaranteed to a workspace.
func (c *Catalog) GuaranteedAccelerators(workspace string) int {
	for _, ws := range c.Workspaces {
		if ws.Name == workspace {
			return ws.GuaranteedAccelerators
		}
	}
	return 0
}
