package client

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/wire"
)

const (
	maxEventBytes  = 1 << 20
	reconnectDelay = 500 * time.Millisecond
)

// Watch calls handle for each change of a job in a workspace, or in all workspaces if workspace is empty, until ctx
// is done or handle returns false. It starts after a position, or from now on if after is empty. It reconnects and
// resumes if the stream ends, and may then pass a change to handle twice. The changes of a job are passed in order.
func (c *Client) Watch(ctx context.Context, workspace, after string, handle func(*wire.Event) bool) error {
	for {
		retry, err := c.watchOnce(ctx, workspace, &after, handle)
		if !retry || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reconnectDelay):
		}
	}
}

// watchOnce follows one stream and reports whether to reconnect.
func (c *Client) watchOnce(ctx context.Context, workspace string, after *string, handle func(*wire.Event) bool) (retry bool, err error) {
	query := url.Values{"workspace": {workspace}, "after": {*after}}
	response, err := c.send(ctx, request{method: http.MethodGet, path: "/v1/watch?" + query.Encode()})
	if err != nil {
		return true, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
		return response.StatusCode >= http.StatusInternalServerError, problemError(response, content)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		event := &wire.Event{}
		if err := api.Unmarshal(lines.Bytes(), event); err != nil {
			return true, err
		}
		if event.GetPosition() != "" {
			*after = event.GetPosition()
		}
		if !handle(event) {
			return false, nil
		}
	}
	return true, nil
}
