package pooltest

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/program/cluster"
)

// Guards against a log in which the lines on runs are missing because requests filled the queue of a slow reader.
func TestRunsAreLoggedDespiteASlowReader(t *testing.T) {
	is := is.New(t)
	const tasks = 8
	c := cluster.New(t, 1, 2)
	g := c.Gateways[0]
	g.Stop()
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = reader.Close() }()
	g.Stdout = writer
	g.Launch()
	_ = writer.Close() // The process has its own.
	g.AwaitReady()
	for range 2000 {
		status, _ := g.Call(http.MethodGet, cluster.JobPath(77), cluster.APIKey, "")
		is.Equal(status, http.StatusGone)
	}
	c.Submit(1, cluster.TasksJob(tasks, "100ms"))
	c.AwaitAllDone(1)
	is.True(strings.Contains(g.Fetch("/metrics"), `hollyfork_log_lines_dropped_total{kind="decision"} 0`))
	written := make(chan string)
	go func() {
		content, _ := io.ReadAll(reader) // until the process has ended
		written <- string(content)
	}()
	g.Stop()
	output := <-written
	for _, message := range []string{"holder: placed", "holder: started", "holder: run ended"} {
		is.Equal(strings.Count(output, `"message":"`+message+`"`), tasks)
	}
	is.True(strings.Contains(output, "log lines were dropped"))
	is.True(strings.Contains(output, "gateway: stopped"))
}
