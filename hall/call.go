package hall

import "hollyfork.example/wire"

// Call is a request to an agent that the holder must send: PrepareCall, StartCall or RevokeCall. Its reply
// is passed to Core.HandlePrepareReply, HandleStartReply or HandleRevokeReply.
type Call interface {
	// Worker returns the name of the worker whose agent is called.
	Worker() string

	call()
}

// PrepareCall asks an agent to reserve accelerators for its part of an attempt.
type PrepareCall struct {
	To      string
	Request *wire.PrepareRequest
}

// StartCall asks an agent to start the part that it has reserved.
type StartCall struct {
	To      string
	Request *wire.StartRequest
}

// RevokeCall asks an agent never to start an attempt, and to stop it if it runs.
type RevokeCall struct {
	To      string
	Request *wire.RevokeRequest
}

// Worker implements Call.
func (c PrepareCall) Worker() string { return c.To }

// Worker implements Call.
func (c StartCall) Worker() string { return c.To }

// Worker implements Call.
func (c RevokeCall) Worker() string { return c.To }

func (PrepareCall) call() {}
func (StartCall) call()   {}
func (RevokeCall) call()  {}
