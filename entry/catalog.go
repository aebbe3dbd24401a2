package entry

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"hollyfork.example/hollyfork/clock"
	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/wire"
)

// maxStatusAge is the age at which a hall's status is no longer used.
const maxStatusAge = 5 * time.Second

// View is an immutable snapshot of the configuration and the halls' statuses.
type View struct {
	// Config is the active configuration, or nil if none has been read yet.
	Config *wire.Configuration
	// Halls maps the names of the halls that answered within maxStatusAge to their statuses.
	Halls map[string]*wire.HallStatus
	// Sent is the number of accelerators, by hall, of the jobs that this entry has sent there and that the hall's last
	// status may not contain.
	Sent map[string]int32
}

// Messages to the catalog actor.
type (
	viewAsk     = mailbox.Ask[viewRequest, View]
	viewRequest struct{}

	configRead struct {
		config *wire.Configuration
	}
	jobSent struct {
		hall string
		job  sentJob
	}
	// jobAnswered means that the hall has answered, or that its answer is not awaited any more.
	jobAnswered struct {
		hall   string
		number uint64
		at     time.Time
	}
	statusRead struct {
		hall        string
		requestedAt time.Time
		status      *wire.HallStatus
	}
)

// catalog is the actor that stores the active configuration and the halls' statuses. It ignores configurations older
// than the active one.
type catalog struct {
	config   *wire.Configuration
	statuses map[string]timedStatus
	sent     sentJobs
}

// timedStatus is a hall's status with the times at which it was requested and received.
type timedStatus struct {
	status      *wire.HallStatus
	requestedAt time.Time
	at          time.Time
}

func newCatalog() actor.Actor {
	return &catalog{statuses: map[string]timedStatus{}, sent: sentJobs{}}
}

// Receive implements actor.Actor.
func (c *catalog) Receive(ctx actor.Context) {
	now := clock.Now()
	switch m := ctx.Message().(type) {
	case configRead:
		c.setConfig(m.config)
	case statusRead:
		c.setStatus(now, m)
	case jobSent:
		c.sent.add(now, m.hall, m.job)
	case jobAnswered:
		c.sent.recordAnswer(m.at, m.hall, m.number)
	case viewAsk:
		m.Reply(c.view(now))
	}
}

func (c *catalog) setConfig(config *wire.Configuration) {
	if c.config == nil || config.GetVersion() > c.config.GetVersion() {
		c.config = config
	}
}

// setStatus records a status, unless one that was requested later has arrived before it.
func (c *catalog) setStatus(now time.Time, m statusRead) {
	if m.requestedAt.Before(c.statuses[m.hall].requestedAt) {
		return
	}
	c.statuses[m.hall] = timedStatus{status: m.status, requestedAt: m.requestedAt, at: now}
	c.sent.dropAnsweredBefore(m.hall, m.requestedAt)
}

func (c *catalog) view(now time.Time) View {
	view := View{Config: c.config, Halls: map[string]*wire.HallStatus{}, Sent: c.sent.accelerators()}
	for name, timed := range c.statuses {
		if now.Sub(timed.at) < maxStatusAge {
			view.Halls[name] = timed.status
		}
	}
	return view
}

// ConfigVersion returns the version of the active configuration, or 0 if none has been read yet.
func (v View) ConfigVersion() uint64 {
	return v.Config.GetVersion()
}
