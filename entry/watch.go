package entry

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/wire"
)

const (
	// watchWait is the time for which a hall waits for changes before it answers. It is less than callTimeout.
	watchWait = 5 * time.Second
	// keepaliveInterval is the interval at which a stream sends a line without a change, so that callers can detect a
	// broken connection.
	keepaliveInterval = 10 * time.Second
	// watchWriteTimeout is the time after which a stream is closed if the caller does not read.
	watchWriteTimeout = 10 * time.Second
	watchRetryDelay   = 500 * time.Millisecond
)

// position maps halls to the sequence number of the last change sent from each.
type position map[string]uint64

// String encodes a position as an opaque text that callers can pass back.
func (p position) String() string {
	parts := make([]string, 0, len(p))
	for _, name := range slices.Sorted(maps.Keys(p)) {
		parts = append(parts, name+"="+strconv.FormatUint(p[name], 10))
	}
	return url.QueryEscape(strings.Join(parts, ","))
}

// parsePosition parses a position encoded by String.
func parsePosition(text string) (position, error) {
	plain, err := url.QueryUnescape(text)
	if err != nil {
		return nil, invalidPosition()
	}
	p := position{}
	for part := range strings.SplitSeq(plain, ",") {
		name, number, ok := strings.Cut(part, "=")
		if !ok {
			return nil, invalidPosition()
		}
		p[name], err = strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, invalidPosition()
		}
	}
	return p, nil
}

func invalidPosition() error {
	return api.NewFieldError("after", "is not a position that a watch stream gave")
}

// hallChanges is the reply of a hall to a watch request, with its refusal, if any.
type hallChanges struct {
	hall  string
	reply *wire.WatchReply
	err   *api.Error
}

// watch handles GET /v1/watch. It writes a line of JSON for each change, from now on or after a given position, until
// the caller disconnects.
func (e *Entry) watch(w http.ResponseWriter, r *http.Request) {
	start := position{}
	if after := r.URL.Query().Get("after"); after != "" {
		parsed, err := parsePosition(after)
		if err != nil {
			e.writeError(w, err)
			return
		}
		start = parsed
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	changes := make(chan hallChanges)
	for _, name := range e.settings.Halls {
		after, known := start[name]
		go e.followHall(ctx, name, after, known, changes)
	}
	s := &watchStream{
		entry:     e,
		writer:    w,
		control:   http.NewResponseController(w),
		workspace: r.URL.Query().Get("workspace"),
		position:  start,
	}
	s.run(ctx, changes)
}

// followHall sends the changes of one hall to a channel until the hall refuses or ctx is done.
func (e *Entry) followHall(ctx context.Context, name string, after uint64, known bool, changes chan<- hallChanges) {
	for ctx.Err() == nil {
		request := &wire.WatchRequest{After: after, FromNow: !known, WaitMs: int32(watchWait.Milliseconds())}
		if !known {
			// Get the hall's position immediately, so that no change between this request and the next is missed.
			request.WaitMs = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		reply, err := callHolder[wire.WatchReply](callCtx, e.directory, name, "Watch", request)
		cancel()
		if err != nil {
			backoff.Sleep(ctx, watchRetryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case changes <- hallChanges{hall: name, reply: reply, err: api.FromRefusal(reply.GetRefusal())}:
		}
		if reply.GetRefusal() != nil {
			return
		}
		after = reply.GetLast()
		known = true
	}
}

// watchStream writes the changes of all halls to one caller.
type watchStream struct {
	entry      *Entry
	writer     http.ResponseWriter
	control    *http.ResponseController
	workspace  string
	position   position
	headerSent bool
}

func (s *watchStream) run(ctx context.Context, changes <-chan hallChanges) {
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		ok := true
		select {
		case <-ctx.Done():
			return
		case <-s.entry.watchersStopped:
			s.write(&wire.Event{Position: s.position.String(), Closing: true})
			return
		case <-keepalive.C:
			ok = s.write(&wire.Event{Position: s.position.String()})
		case c := <-changes:
			ok = s.writeChanges(c)
		}
		if !ok {
			return
		}
	}
}

// writeChanges writes the changes in a hall's reply, and reports whether the stream can continue. Only the last line
// of a reply advances the hall's position, so that a caller who resumes after an earlier line misses no changes.
func (s *watchStream) writeChanges(c hallChanges) bool {
	if c.err != nil {
		return s.end(c.err)
	}
	_, known := s.position[c.hall]
	jobs := s.filter(c.reply.GetJobs())
	for i, job := range jobs {
		if i == len(jobs)-1 {
			s.position[c.hall] = c.reply.GetLast()
		}
		if !s.write(&wire.Event{Position: s.position.String(), Job: job}) {
			return false
		}
	}
	s.position[c.hall] = c.reply.GetLast()
	if !known {
		// Send the position at which the stream starts.
		return s.write(&wire.Event{Position: s.position.String()})
	}
	return true
}

func (s *watchStream) filter(jobs []*wire.Job) []*wire.Job {
	if s.workspace == "" {
		return jobs
	}
	var wanted []*wire.Job
	for _, job := range jobs {
		if job.GetSpec().GetWorkspace() == s.workspace {
			wanted = append(wanted, job)
		}
	}
	return wanted
}

// end ends the stream. It responds with problem details if no line was written yet, and else writes a closing line.
func (s *watchStream) end(failure *api.Error) bool {
	if !s.headerSent {
		s.entry.writeError(s.writer, failure)
		return false
	}
	s.write(&wire.Event{Closing: true})
	return false
}

func (s *watchStream) write(event *wire.Event) bool {
	content, err := api.Marshal(event)
	if err != nil {
		return false
	}
	if !s.headerSent {
		s.headerSent = true
		s.writer.Header().Set("Content-Type", contentTypeStream)
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if _, err := s.writer.Write(append(content, '\n')); err != nil {
		return false
	}
	return s.control.Flush() == nil
}
