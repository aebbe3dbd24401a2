package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 3 * time.Second
	// clientTries is the first try and four retries.
	clientTries = 5
)

// queue is a route of the configuration.
type queue struct {
	name, host, prefix string
}

// client is a client of one tenant. It sends each try to the next gateway.
type client struct {
	record *record
	system *deployment
	key    string
	next   int
}

// newJobID returns an identifier of 16 hexadecimal digits.
func newJobID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send makes one call. The status is 0 if there is no answer.
func (c *client) send(method string, q queue, rest, body string) (status int, content string) {
	gateway := c.system.gateways[c.next%len(c.system.gateways)]
	c.next++
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.callers+q.prefix+rest, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = q.host
	request.Header.Set("Api-Key", c.key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		c.record.add("client", "%s %s%s to %s: no answer", method, q.prefix, rest, gateway.name)
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	bytes, _ := io.ReadAll(answer.Body)
	c.record.add("client", "%s %s%s to %s %s -> %d %s", method, q.prefix, rest, gateway.name, body, answer.StatusCode, strings.TrimSpace(string(bytes)))
	return answer.StatusCode, string(bytes)
}

// submit hands a job in until it is accepted, and returns when that was.
func (c *client) submit(q queue, id, body string) (acceptedAt time.Time, ok bool) {
	for range clientTries {
		if status, _ := c.send(http.MethodPost, q, id, body); status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, false
}

// state returns the state of a job as the service tells it; empty if it doesn't.
func (c *client) state(q queue, id string) string {
	status, content := c.send(http.MethodGet, q, id, "")
	answer := struct {
		State string `json:"state"`
	}{}
	if status != http.StatusOK || json.Unmarshal([]byte(content), &answer) != nil {
		return fmt.Sprintf("(status %d)", status)
	}
	return answer.State
}

// pending returns the number of a queue's jobs of which no task has begun, as the service tells it.
func (c *client) pending(q queue) string {
	status, content := c.send(http.MethodGet, q, "", "")
	answer := struct {
		Pending int `json:"pending"`
	}{}
	if status != http.StatusOK || json.Unmarshal([]byte(content), &answer) != nil {
		return fmt.Sprintf("(status %d)", status)
	}
	return fmt.Sprint(answer.Pending)
}
