package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"
)

var cases = map[string]reviewCase{
	"fillers":   {play: playFillers, lastKind: "a"},
	"rounds":    {play: playRounds, quiet: true, lastKind: "b"},
	"withdrawn": {play: playWithdrawn, lastKind: "a"},
	"rack":      {play: playRack, lastKind: "a"},
	"reserved":  {play: playReserved, lastKind: "a"},
	"guarantee": {play: playGuarantee, lastKind: "a"},
	"crashes":   {play: playCrashes, lastKind: "a"},
}

// playFillers loses the worker of a task that serves, while one task that fills is on each other worker.
func playFillers(d *deployment, trouble bool) outcome {
	const serving, filling = "5e00000000000001", "f100000000000001"
	servingJob := job{Spec: "serve", Steps: []step{{Count: 1, CPU: 8000, Mem: 16000, GPU: 1, LongRunning: true, MayMiss: 1, TargetMs: 200, Image: "captions"}}}
	fillingJob := job{Spec: "fill", Steps: []step{{Count: workers - 1, CPU: 2000, Mem: 1000, LongRunning: true, Fills: true, AntiAffinity: 1, Image: "thumbs"}}}
	if !d.submit(urgent, serving, tenantKey, servingJob) || !await(5*time.Second, func() bool { return d.workerOf(serving) != nil }) {
		return couldNotRun
	}
	if !d.submit(low, filling, otherKey, fillingJob) {
		return couldNotRun
	}
	if !await(10*time.Second, func() bool { return d.count(filling) == workers-1 }) {
		return couldNotRun
	}
	d.record.add("the task that serves runs on %s, those that fill on all other workers", d.workerOf(serving).name)
	time.Sleep(4 * time.Second)
	if trouble {
		d.workerOf(serving).crash(0)
	}
	return d.watchLasting(serving, 30*time.Second)
}

// count returns the number of workers that run a task of a job.
func (d *deployment) count(id string) int {
	n := 0
	for _, w := range d.workers {
		if w.runs(id) {
			n++
		}
	}
	return n
}

// watchLasting watches a job with one task that lasts for a time. The rule LOST allows 6 s after its last run, then 3 s;
// the rule looks at calm times, which begin contact_ms after the disruption.
func (d *deployment) watchLasting(id string, length time.Duration) outcome {
	const allowed = 6*time.Second + 3*time.Second + 4*time.Second + 3*time.Second
	lastRun := time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.workerOf(id) != nil {
			lastRun = time.Now()
		}
		if time.Since(lastRun) > allowed {
			d.record.add("the task that lasts has not run for %s", time.Since(lastRun).Round(time.Millisecond))
			d.recordUse()
			d.state(urgent+id, tenantKey)
			return broken
		}
	}
	d.state(urgent+id, tenantKey)
	return held
}

// recordUse records what runs on the workers.
func (d *deployment) recordUse() {
	for _, w := range d.workers {
		w.mu.Lock()
		used := w.inUse()
		d.record.add("worker %s: down %v, in use %+v of %+v by %d tasks", w.name, w.down, used, w.room, len(w.running))
		w.mu.Unlock()
	}
}

// playRounds loses the only worker of a kind, on which a small part of each time of a job runs. Another one comes later.
func playRounds(d *deployment, trouble bool) outcome {
	const id, count, repeats, interval = "7a00000000000001", 990, 40, 1200 * time.Millisecond
	const replaceAfter = 40 * time.Second
	first := time.Now().Add(2 * time.Second)
	j := job{
		Spec: "thumbs", Repeats: repeats, FirstMs: first.UnixMilli(), IntervalMs: interval.Milliseconds(),
		Steps: []step{
			{Count: count, CPU: 500, Mem: 64, EstMs: 100, Constraints: "a", work: 100 * time.Millisecond},
			{Count: 1, CPU: 500, Mem: 64, EstMs: 100, Constraints: "b", work: 100 * time.Millisecond},
		},
	}
	if !d.submit(normal, id, tenantKey, j) {
		return couldNotRun
	}
	time.Sleep(5 * time.Second)
	replaceAt := time.Now().Add(replaceAfter)
	if trouble {
		d.workers[workers-1].crash(0)
	}
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if trouble && len(d.workers) == workers && time.Now().After(replaceAt) {
			d.record.add("a new worker of the kind comes, at another machine")
			if d.startWorker(workers, "b", true) != nil {
				return couldNotRun
			}
		}
		d.record.add("the store has a row of %d bytes on the job", d.stateBytes(id))
		switch d.state(normal+id, tenantKey) {
		case "failed":
			d.record.add("no run of the job ended failed, and nobody cancelled it")
			return broken
		case "done":
			return held
		}
	}
	return couldNotRun
}

// stateBytes returns the size of the row in which the system keeps the state of a job, without the base64 encoding.
func (d *deployment) stateBytes(id string) int {
	request := httptest.NewRequest(http.MethodGet, "/rows-get?table=state&part="+service+"&from=job/"+id+"&limit=1", http.NoBody)
	answered := httptest.NewRecorder()
	d.lossy.ServeHTTP(answered, request)
	page := struct {
		Rows []struct {
			Value []byte `json:"value"`
		} `json:"rows"`
	}{}
	if json.Unmarshal(answered.Body.Bytes(), &page) != nil || len(page.Rows) == 0 {
		return 0
	}
	return len(page.Rows[0].Value)
}

// playWithdrawn submits jobs that were cancelled before they existed, when the store loses answers.
func playWithdrawn(d *deployment, trouble bool) outcome {
	const count = 8
	j := job{Spec: "caption", Steps: []step{{Count: 1, CPU: 1000, Mem: 100, EstMs: 500, work: 500 * time.Millisecond}}}
	var ids []string
	for i := range count {
		id := "ca000000000000" + strconv.Itoa(10+i)
		if status, _, _ := d.send(http.MethodDelete, urgent+id, tenantKey, ""); status != http.StatusGone {
			return couldNotRun
		}
		ids = append(ids, id)
		time.Sleep(300 * time.Millisecond)
	}
	accepted := make(chan bool, count)
	var firstRetry time.Duration
	for i, id := range ids {
		body := d.register(id, j)
		_, _, after := d.send(http.MethodPost, urgent+id, tenantKey, body)
		seconds, _ := strconv.Atoi(after)
		wait := time.Duration(seconds) * time.Second
		if i == 0 {
			firstRetry = wait
		}
		go d.resubmit(urgent+id, body, wait, accepted)
	}
	time.Sleep(firstRetry - 1500*time.Millisecond)
	if trouble {
		d.lossy.loseAnswers(func(t transaction) bool {
			return len(t.Remove) > 0 && strings.HasSuffix(t.Remove[0].Key, "/cancel")
		})
	}
	for range ids {
		if !<-accepted {
			return couldNotRun
		}
	}
	time.Sleep(3 * time.Second)
	lost, calls := d.lossy.share()
	d.record.add("store: %d of %d writing calls lost their answers", lost, calls)
	result := held
	for _, id := range ids {
		switch d.state(urgent+id, tenantKey) {
		case "done":
		case "cancelled":
			d.record.add("%s was accepted after its identifier was answered with 410, nobody cancelled it since, and it shows as cancelled", id)
			result = broken
		default:
			return couldNotRun
		}
	}
	return result
}

// resubmit submits a job again after the time that it was told, until it is accepted.
func (d *deployment) resubmit(path, body string, wait time.Duration, accepted chan<- bool) {
	for range 20 {
		time.Sleep(wait)
		status, _, after := d.sendTo(0, http.MethodPost, path, tenantKey, body)
		if status/100 == 2 {
			accepted <- true
			return
		}
		seconds, _ := strconv.Atoi(after)
		wait = max(time.Second, time.Duration(seconds)*time.Second)
	}
	accepted <- false
}

// tasks returns the number of running tasks of a job.
func (d *deployment) tasks(id string) int {
	n := 0
	for _, w := range d.workers {
		w.mu.Lock()
		for task := range w.running {
			if strings.HasPrefix(task, id+".") {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}

// playRack loses the worker of a task whose data lie in a rack of two workers. A task that lasts fills the other one, and
// others keep more than half of the deployment busy.
func playRack(d *deployment, trouble bool) outcome {
	const others, beside, id, rack = "1a00000000000001", "1a00000000000002", "da00000000000001", "r1-2"
	lasting := step{CPU: 8000, Mem: 16000, GPU: 8, LongRunning: true, Image: "previews"}
	whole, near := lasting, lasting
	whole.Count = 4
	near.Count, near.Colocate = 1, rack
	if !d.submit(normal, others, otherKey, job{Spec: "previews", Steps: []step{whole}}) || !d.submit(normal, beside, otherKey, job{Spec: "previews", Steps: []step{near}}) {
		return couldNotRun
	}
	if !await(10*time.Second, func() bool { return d.tasks(others) == 4 && d.tasks(beside) == 1 }) {
		return couldNotRun
	}
	if d.workerOf(beside).labels[1] != rack {
		return couldNotRun
	}
	j := job{Spec: "lecture", Steps: []step{{Count: 1, CPU: 16000, Mem: 32000, GPU: 4, EstMs: 12000, Colocate: rack, work: 12 * time.Second}}}
	if !d.submit(normal, id, tenantKey, j) || !await(5*time.Second, func() bool { return d.workerOf(id) != nil }) {
		return couldNotRun
	}
	if d.workerOf(id) == d.workerOf(beside) || d.workerOf(id).labels[1] != rack {
		return couldNotRun
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.workerOf(id).crash(0)
	}
	return d.watchDone(normal+id, id, 45*time.Second)
}

// playReserved submits a gang that needs the whole deployment, of which tasks that last keep more than half busy, and then
// a small job.
func playReserved(d *deployment, trouble bool) outcome {
	const others, gang, id = "1a00000000000001", "9a00000000000001", "5a00000000000001"
	lasting := step{Count: 5, CPU: 8000, Mem: 16000, GPU: 8, LongRunning: true, Image: "previews"}
	if !d.submit(normal, others, otherKey, job{Spec: "previews", Steps: []step{lasting}}) || !await(10*time.Second, func() bool { return d.tasks(others) == 5 }) {
		return couldNotRun
	}
	time.Sleep(3 * time.Second)
	if trouble {
		large := step{Count: workers, CPU: 52000, Mem: 110000, GPU: 8, EstMs: 8500, Gang: true, work: 8500 * time.Millisecond}
		if !d.submit(normal, gang, otherKey, job{Spec: "lecture", Steps: []step{large}}) {
			return couldNotRun
		}
		time.Sleep(time.Second)
	}
	j := job{Spec: "thumbs", Steps: []step{{Count: 1, CPU: 1000, Mem: 1000, GPU: 1, EstMs: 20000, work: 20 * time.Second}}}
	if !d.submit(normal, id, tenantKey, j) {
		return couldNotRun
	}
	return d.watchDone(normal+id, id, 45*time.Second)
}

// playGuarantee submits a gang within its tenant's guarantee, while each worker is half taken by a task that lasts. A burst
// of short tasks has spread these over all workers.
func playGuarantee(d *deployment, trouble bool) outcome {
	const short, lasting, gang = "0a00000000000001", "1a00000000000001", "9a00000000000001"
	const reclaim = 2900 * time.Millisecond
	if trouble {
		burst := step{Count: workers, CPU: 8000, Mem: 16000, GPU: 4, EstMs: 6000, AntiAffinity: 1, work: 6 * time.Second}
		if !d.submit(normal, short, otherKey, job{Spec: "lecture", Steps: []step{burst}}) || !await(5*time.Second, func() bool { return d.tasks(short) == workers }) {
			return couldNotRun
		}
	}
	lasts := step{Count: workers, CPU: 8000, Mem: 16000, GPU: 4, LongRunning: true, MayMiss: 1, Image: "previews"}
	if !d.submit(low, lasting, otherKey, job{Spec: "previews", Steps: []step{lasts}}) || !await(5*time.Second, func() bool { return d.tasks(lasting) == workers }) {
		return couldNotRun
	}
	if !await(10*time.Second, func() bool { return d.tasks(short) == 0 }) {
		return couldNotRun
	}
	time.Sleep(4 * time.Second)
	d.recordUse()
	j := job{Spec: "caption", Steps: []step{{Count: 2, CPU: 32000, Mem: 64000, GPU: 8, EstMs: 8000, Gang: true, work: 8 * time.Second}}}
	if !d.submit(urgent, gang, tenantKey, j) {
		return couldNotRun
	}
	accepted := time.Now()
	if await(reclaim, func() bool { return d.tasks(gang) == 2 }) {
		d.record.add("both tasks run %s after the acknowledgement", time.Since(accepted).Round(time.Millisecond))
		return held
	}
	d.record.add("%d of 2 tasks run %s after the acknowledgement", d.tasks(gang), time.Since(accepted).Round(time.Millisecond))
	for range 3 {
		time.Sleep(10 * time.Second)
		d.record.add("%d of 2 tasks run %s after the acknowledgement", d.tasks(gang), time.Since(accepted).Round(time.Second))
	}
	d.recordUse()
	d.state(urgent+gang, tenantKey)
	return broken
}

// playCrashes crashes one worker at a time, five times, at different times after the start of the task that runs there.
func playCrashes(d *deployment, trouble bool) outcome {
	const id = "c000000000000001"
	j := job{Spec: "serve", Steps: []step{{Count: 1, CPU: 8000, Mem: 16000, GPU: 1, LongRunning: true}}}
	if !d.submit(normal, id, tenantKey, j) {
		return couldNotRun
	}
	for _, age := range []time.Duration{6 * time.Second, 1500 * time.Millisecond, 4 * time.Second, 2500 * time.Millisecond, 7 * time.Second} {
		if !await(10*time.Second, func() bool { return d.workerOf(id) != nil }) {
			break
		}
		time.Sleep(age)
		if w := d.workerOf(id); trouble && w != nil {
			w.crash(2 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	if d.state(normal+id, tenantKey) == "failed" {
		d.record.add("no run of the job ended failed, and nobody cancelled it")
		return broken
	}
	return held
}

// watchDone watches a job until it is done. The rule LOST allows 3 s without a run at a time that has been calm for 4 s;
// the calm begins contact_ms, 3 s, after a disruption.
func (d *deployment) watchDone(path, id string, length time.Duration) outcome {
	const allowed = (3 + 4 + 3) * time.Second
	const stillAfter = 20 * time.Second
	lastRun := time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.workerOf(id) != nil {
			lastRun = time.Now()
		}
		if time.Since(lastRun) < allowed {
			continue
		}
		if d.state(path, tenantKey) == "done" {
			return held
		}
		d.record.add("%s has had nothing running for %s", id, time.Since(lastRun).Round(time.Millisecond))
		d.recordUse()
		time.Sleep(stillAfter)
		d.record.add("%s later, %d of its tasks run", stillAfter, d.tasks(id))
		d.state(path, tenantKey)
		return broken
	}
	return couldNotRun
}
