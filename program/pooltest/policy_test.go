package pooltest

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/platform/fakes"
	"hollyfork.example/hollyfork/program/cluster"
)

// setPolicy makes a configuration active in which the queue has a policy or none, and then the workers follow it.
func setPolicy(t *testing.T, c *cluster.Cluster, version int, advised bool) {
	t.Helper()
	c.Apply(cluster.Config{Version: version, Key: cluster.APIKey, Pool: fakes.PoolName, Advised: advised})
	awaitConfig(t, c, version)
	for _, w := range c.Workers {
		if advised {
			w.SetAdvice(c.Advice)
		} else {
			w.SetAdvice(nil)
		}
	}
}

// Guards against LOST: a queue gets a policy between two rounds of a job that it has accepted. The later rounds' starts were
// sent without tickets, rejected some 300 times a second, and never ran.
func TestLaterRoundsFollowThePolicyThatTheQueueGets(t *testing.T) {
	is := is.New(t)
	c := cluster.NewAdvised(t, 2, 2, func(worker string) bool { return worker == "worker-1" })
	setPolicy(t, c, 2, false)
	c.Submit(1, cluster.RepeatingJob(4, time.Now().Add(200*time.Millisecond), 1500*time.Millisecond, "200ms"))
	cluster.Eventually(t, "the first round runs", func() bool { return c.Runs.StartCount() == 1 })
	is.Equal(c.Advice.RequestCount(), 0)
	setPolicy(t, c, 3, true)
	onOther := c.Workers[0].Starts()
	c.AwaitAllDone(1)
	is.Equal(c.Runs.StartCount(), 4)
	is.Equal(c.Workers[0].Starts(), onOther) // the policy allows the other worker alone
	is.True(c.Advice.RequestCount() > 0)
	for _, g := range c.Gateways {
		is.True(strings.Count(g.Output(), "holder: start rejected") < 5)
	}
}
