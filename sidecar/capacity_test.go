package sidecar

import (
	"testing"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/job"
	"hollyfork.example/wire/poolpb"
)

// beat is a heartbeat of the first incarnation with some room.
func beat(sequence uint64, room job.Shape) Heartbeat {
	return Heartbeat{Instance: named("first"), Sequence: sequence, Capacity: room}
}

// A start was on its way when its worker's room shrank. The worker guards nothing, and the agent, the last who
// could refuse, did not look.
func TestStartForMoreRoomThanThereIsIsRefused(t *testing.T) {
	whole := job.Shape{CPUMillis: 8000, MemoryMB: 4000, Accelerators: 8}
	for name, test := range map[string]struct {
		room    job.Shape
		counted *poolpb.Capacity
		verdict poolpb.OrderResult_Value
	}{
		"as counted":          {room: whole, counted: capacity(whole), verdict: poolpb.OrderResult_OK},
		"grown":               {room: whole.Add(whole), counted: capacity(whole), verdict: poolpb.OrderResult_OK},
		"fewer accelerators":  {room: whole.Sub(job.Shape{Accelerators: 1}), counted: capacity(whole), verdict: poolpb.OrderResult_ROOM},
		"less memory":         {room: whole.Sub(job.Shape{MemoryMB: 1}), counted: capacity(whole), verdict: poolpb.OrderResult_ROOM},
		"fewer processors":    {room: whole.Sub(job.Shape{CPUMillis: 1}), counted: capacity(whole), verdict: poolpb.OrderResult_ROOM},
		"nothing left":        {room: job.Shape{}, counted: capacity(whole), verdict: poolpb.OrderResult_ROOM},
		"not told what it is": {room: job.Shape{}, verdict: poolpb.OrderResult_OK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore()
			list(c, 0, Listing{})
			c.Heartbeat(beat(2, test.room))
			order := orderAt(c, named("first"), 0)
			order.Capacity = test.counted
			_, verdict := c.StartUntil(start, order)
			is.Equal(verdict, test.verdict)
		})
	}
}

func capacity(room job.Shape) *poolpb.Capacity {
	return &poolpb.Capacity{CpuMillis: int32(room.CPUMillis), MemoryMb: int32(room.MemoryMB), Accelerators: int32(room.Accelerators)}
}

// The holder heard of it with the next renewal, up to 0.5 s later.
func TestChangeOfRoomIsNews(t *testing.T) {
	is := is.New(t)
	c := newTestCore()
	list(c, 0, Listing{})
	room := job.Shape{CPUMillis: 8000, MemoryMB: 4000, Accelerators: 8}
	is.Equal(c.Heartbeat(beat(2, room)), BeatNews)
	is.Equal(c.Heartbeat(beat(3, room)), BeatKnown)
	is.Equal(c.Heartbeat(beat(4, room.Sub(job.Shape{Accelerators: 8}))), BeatNews)
	is.Equal(c.worker().GetAccelerators(), int32(0))
}
