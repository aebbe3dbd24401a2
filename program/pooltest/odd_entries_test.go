package pooltest

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/program/cluster"
	"hollyfork.example/wire/poolpb"
	"hollyfork.example/wire/relaypb"
)

// oddHeartbeats returns heartbeats of another writer, by what is odd about them.
func oddHeartbeats() map[string]string {
	const form = `{"service":"encoders","addr":%q,"zone":"hall-0","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":%s,` +
		`"capacity":{"cpu":%s,"mem_mb":1000,"gpu":8},"labels":["a","r1"],"clock_ms":%s%s}`
	const address = "10.128.0.9:8080"
	deep := strings.Repeat("[", 200_000)
	return map[string]string{
		"nested deeply":               fmt.Sprintf(form, address, "1", "8", "5", `,"extra":`+deep+strings.Repeat("]", len(deep))),
		"nested deeply, cut off":      fmt.Sprintf(form, address, "1", "8", "5", `,"labels":`+deep),
		"objects nested deeply":       fmt.Sprintf(form, address, "1", "8", "5", `,"extra":`+strings.Repeat(`{"a":`, 100_000)+"1"+strings.Repeat("}", 100_000)),
		"a number past all types":     fmt.Sprintf(form, address, "1e400", "8", "5", ""),
		"a number past its type":      fmt.Sprintf(form, address, "18446744073709551616", "8", "5", ""),
		"a great number":              fmt.Sprintf(form, address, "18446744073709551615", "8", "5", ""),
		"a capacity past its type":    fmt.Sprintf(form, address, "1", "9223372036854775808", "5", ""),
		"a great capacity":            fmt.Sprintf(form, address, "1", "9223372036854775807", "5", ""),
		"a great clock":               fmt.Sprintf(form, address, "1", "8", "9223372036854775807", ""),
		"a great start":               fmt.Sprintf(form, address, "1", "8", "5", `,"born":9223372036854775807`),
		"a great remaining time":      fmt.Sprintf(form, address, "1", "8", "5", `,"remaining_ms":9223372036854775807`),
		"a port out of range":         fmt.Sprintf(form, "10.128.0.9:99999", "1", "8", "5", ""),
		"a port of no number":         fmt.Sprintf(form, "10.128.0.9:http", "1", "8", "5", ""),
		"the port 0":                  fmt.Sprintf(form, "10.128.0.9:0", "1", "8", "5", ""),
		"a field twice":               fmt.Sprintf(form, address, "1", "8", "5", `,"state":"resting"`),
		"a text of nearly a megabyte": fmt.Sprintf(form, strings.Repeat("x", 1_000_000), "1", "8", "5", ""),
	}
}

// soundHeartbeat is what a worker might say, for identifiers that are odd.
const soundHeartbeat = `{"service":"encoders","addr":"10.128.0.9:8080","zone":"hall-0","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1,` +
	`"capacity":{"cpu":8000,"mem_mb":1000,"gpu":8},"labels":["a","r1"],"clock_ms":5}`

// putOddRows writes rows of another writer: addresses with ports out of range, numbers past what they stand for, and rows
// that are nested deeply.
func putOddRows(c *cluster.Cluster) {
	const group = "\x7b" // begins a group in the wire format of rows
	deep := []byte(strings.Repeat(group, 60_000))
	for name, address := range map[string]string{"high": "127.0.0.1:99999", "none": "127.0.0.1:0", "text": "127.0.0.1:http", "long": "127.0.0.1:18446744073709551616"} {
		key := pool.AgentKey("encoders", "stranger-"+name)
		c.Store.Put(key.Table, key.Part, key.Name, pool.Encode(&poolpb.AgentRow{Address: address}))
	}
	key := pool.AgentKey("encoders", "stranger-deep")
	c.Store.Put(key.Table, key.Part, key.Name, deep)
	for i, keys := range []pool.JobKeys{pool.KeysOf("00000000000000f1"), pool.LegacyKeysOf("encoders", "00000000000000f2")} {
		c.Store.Put(keys.Job.Table, keys.Job.Part, keys.Job.Name, deep)
		c.Store.Put(keys.Cancel.Table, keys.Cancel.Part, keys.Cancel.Name, deep[:1+i])
	}
	row := &poolpb.JobRow{Pool: "encoders", Queue: "captions", Workspace: "lectures", AcceptedMs: math.MaxInt64, Attempts: math.MaxInt32, Stretch: math.MaxFloat64, GoalMs: math.MaxInt32}
	row.Steps = []*poolpb.Step{{Count: 1, CpuMillis: math.MaxInt32, MemoryMb: math.MaxInt32, Accelerators: math.MaxInt32, EstimateMs: math.MaxInt32, TargetMs: math.MaxInt32}}
	great := pool.KeysOf("00000000000000f3").Job
	c.Store.Put(great.Table, great.Part, great.Name, pool.Encode(row))
	for slot, address := range []string{"127.0.0.1:99999", "127.0.0.1:9"} {
		c.Store.Put("gateway", "gateway", fmt.Sprintf("relay/%d", 5+slot), pool.Encode(&relaypb.GatewayRow{Name: "stranger", Address: address, PowerMillis: math.MaxInt32, AnnouncedMs: math.MaxInt64 - int64(slot)}))
	}
}

// Guards against LOST, as other operators had it: one odd entry of another writer made the machines that read it end, or stop
// following the list. Each is rejected, listed, and holds up itself alone, also at the next holder.
func TestOddEntriesHoldUpNothing(t *testing.T) {
	is := is.New(t)
	c := cluster.New(t, 2, 3)
	c.Submit(1, cluster.TasksJob(2, "100ms"))
	c.AwaitState(1, "done")
	for _, w := range c.Workers {
		for name, body := range oddHeartbeats() {
			if status := w.PostHeartbeat("i-stranger", body); status != 400 {
				t.Errorf("a heartbeat with %s is answered with %d", name, status)
			}
		}
		for _, id := range []string{"i-stranger%0A", "%00", "i%20stranger", "%7F", "%C3%BC", strings.Repeat("x", 300)} {
			if status := w.PostHeartbeat(id, soundHeartbeat); status != 400 {
				t.Errorf("a heartbeat of %.20s is answered with %d", id, status)
			}
		}
	}
	putOddRows(c)
	time.Sleep(2 * time.Second)
	c.Submit(2, cluster.TasksJob(4, "100ms"))
	c.AwaitState(2, "done")
	holder := c.Holder()
	c.Gateways[holder].Kill()
	c.Submit(3, cluster.TasksJob(4, "100ms"))
	c.AwaitState(3, "done")
	c.CheckRuns()
	for i, p := range c.Gateways {
		is.Equal(p.Running(), i != holder) // none ends by itself
	}
	for _, p := range c.Sidecars {
		is.True(p.Running())
	}
	listing := poolListing(t, c.Gateways[1-holder])
	for _, row := range []string{
		"agent/stranger-high", "agent/stranger-none", "agent/stranger-text", "agent/stranger-long", "agent/stranger-deep",
		"job/00000000000000f1/spec", "job/00000000000000f2/spec", "relay/5", "relay/6",
	} {
		if !strings.Contains(listing, row) {
			t.Errorf("%s is not listed:\n%s", row, listing)
		}
	}
}
