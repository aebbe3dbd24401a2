package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// deadline is the time for which callers wait for an answer.
const deadline = 3 * time.Second

type (
	// step is a step of a job on the wire.
	step struct {
		Count      int   `json:"count"`
		CPU        int   `json:"cpu,omitempty"`
		MemMB      int   `json:"mem_mb,omitempty"`
		GPU        int   `json:"gpu,omitempty"`
		EstMs      int64 `json:"est_ms,omitempty"`
		Checkpoint bool  `json:"checkpoint,omitempty"`
		Gang       bool  `json:"gang,omitempty"`
	}

	// jobBody is a job on the wire.
	jobBody struct {
		Spec       string `json:"spec"`
		Steps      []step `json:"steps"`
		Repeats    int    `json:"repeats,omitempty"`
		FirstMs    int64  `json:"first_ms,omitempty"`
		IntervalMs int64  `json:"interval_ms,omitempty"`
	}

	// caller is a client of the gateways.
	caller struct {
		rec  *record
		http *http.Client
		key  string
		host string
	}
)

func newCaller(rec *record, host, key string) *caller {
	return &caller{rec: rec, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, key: key, host: host}
}

// newJobID returns a random job ID.
func newJobID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// call sends a request to a gateway. The status is 0 if there was no answer.
func (c *caller) call(method, gateway, path string, body any) (status int, answer string) {
	var content io.Reader = http.NoBody
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, content)
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.Header.Set("Api-Key", c.key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.rec.log("caller: %s %s at %s: no answer: %v", method, path, gateway, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	c.rec.log("caller: %s %s at %s: %d %s", method, path, gateway, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(bytes.TrimSpace(text))
}

// state returns the state in an answer to a GET.
func state(answer string) string {
	body := struct {
		State string `json:"state"`
	}{}
	_ = json.Unmarshal([]byte(answer), &body)
	return body.State
}
