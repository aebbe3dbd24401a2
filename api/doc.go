// Package api defines the parts of the resource API that are visible to callers: the validation of requests, the
// errors, and the JSON encoding of resources.
package api
