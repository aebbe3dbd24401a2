package pool

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/instance"
	"hollyfork.example/hollyfork/job"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire/poolpb"
)

// RestoreState loads a row of the state table. The job must have been added before. Placements in the
// row count as possibly running. If a job's row cannot be decoded, nothing of the job is started, since
// any of its tasks may be running or done.
func (c *Core) RestoreState(now time.Time, row store.Row) error {
	if row.Key.Name == pacesRowName && !row.Deleted {
		return c.restorePaces(now, row)
	}
	id, isJob := strings.CutPrefix(row.Key.Name, jobPrefix)
	if !isJob || row.Deleted {
		return nil
	}
	j, known := c.jobs[job.ID(id)]
	if !known {
		return &Error{Op: "restore state of " + id, Kind: KindCorrupt}
	}
	content, err := decodeState(row, j.job)
	if err != nil {
		j.unreadable = true
		delete(c.liveJobs, j.job.ID)
		return err
	}
	j.compressedBytes = compressedLength(row.Value)
	c.restoreJob(now, j, content)
	return nil
}

// decodeState decodes a job's row of the state table.
func decodeState(row store.Row, j job.Job) (*poolpb.StateRow, error) {
	content, err := unmarshalState(row.Value)
	if err != nil {
		return nil, &Error{Op: "decode state of " + string(j.ID), Kind: KindCorrupt, Err: err}
	}
	if !validState(content, j) {
		return nil, &Error{Op: "decode state of " + string(j.ID), Kind: KindCorrupt}
	}
	return content, nil
}

// validState reports whether the content of a state row is valid for the job.
func validState(row *poolpb.StateRow, j job.Job) bool {
	if _, known := poolpb.JobState_Value_name[int32(row.GetState())]; !known || row.GetLayout() != rowLayout {
		return false
	}
	if row.GetDoneRoundsBelow() < 0 || int(row.GetDoneRoundsBelow()) > j.Schedule.Rounds() {
		return false
	}
	for _, number := range row.GetDoneRounds() {
		if number < 0 || int(number) >= j.Schedule.Rounds() {
			return false
		}
	}
	for _, g := range row.GetGroups() {
		if !validGroup(g, j) {
			return false
		}
	}
	return true
}

// validGroup reports whether a row describes a group that the job has.
func validGroup(row *poolpb.GroupState, j job.Job) bool {
	step, first, round := int(row.GetStep()), int(row.GetFirst()), int(row.GetRound())
	if step < 0 || step >= len(j.Steps) || first < 0 || first >= j.Steps[step].Count || round < 0 || round >= j.Schedule.Rounds() {
		return false
	}
	size := 1
	if j.Steps[step].Gang {
		size = j.Steps[step].Count
	}
	for _, crashRow := range row.GetCrashes() {
		if index := int(crashRow.GetIndex()); index < first || index >= first+size || crashRow.GetAfterMs() < 0 || crashRow.GetAgent() == "" {
			return false
		}
	}
	members := len(row.GetMembers())
	return first%size == 0 && row.GetRun() >= 0 && row.GetFailures() >= 0 && row.GetExtraStarts() >= 0 && (members == 0 || members == size)
}

func (c *Core) restoreJob(now time.Time, j *jobState, row *poolpb.StateRow) {
	for state, value := range stateToRow {
		if value == row.GetState() {
			j.state = state
		}
	}
	j.started = j.state != Queued
	j.endedAt = now
	j.restoreRounds(now, c.timeOfDayOffset, row)
	for _, saved := range row.GetGroups() {
		g := j.findGroup(job.TaskID{Job: j.job.ID, Round: int(saved.GetRound()), Step: int(saved.GetStep()), Index: int(saved.GetFirst())})
		if g != nil {
			c.restoreGroup(now, g, saved)
		}
	}
	if j.state == Failed {
		j.endReason = c.restoredFailureReason(now, j)
	}
	if j.state.ended() {
		for _, g := range j.groups {
			if g.placed() {
				c.abort(now, g)
			}
		}
	}
}

// restoredFailureReason derives the cause of a failure under an earlier holder from the job's row, as
// far as possible.
func (c *Core) restoredFailureReason(now time.Time, j *jobState) string {
	for _, g := range j.groups {
		if g.done {
			continue
		}
		if reason := c.failureReason(now, g); reason != "" {
			return reason
		}
		if len(g.crashes) > 0 {
			return fmt.Sprintf("%d workers crashed under a task", g.crashCount())
		}
	}
	return "not known to this holder"
}

// restoreRounds restores which rounds of a job are done, and opens the rounds that an earlier holder
// had opened: all undone rounds up to the last one that is done or has a group in the row.
func (j *jobState) restoreRounds(now time.Time, offset time.Duration, row *poolpb.StateRow) {
	if j.job.Schedule.Immediate() {
		return
	}
	j.roundLog = roundLog{doneBelow: int(row.GetDoneRoundsBelow())}
	for _, number := range row.GetDoneRounds() {
		j.roundLog.finish(int(number))
	}
	opened := j.roundLog.doneBelow
	for number := range j.roundLog.done {
		opened = max(opened, number+1)
	}
	for _, g := range row.GetGroups() {
		opened = max(opened, int(g.GetRound())+1)
	}
	j.roundLog.next = opened
	for number := j.roundLog.doneBelow; number < opened; number++ {
		if !j.roundLog.isDone(number) {
			j.openRound(now, number, offset)
		}
	}
}

// restoredPreferenceWait returns preferenceWaitSince for a group that an earlier holder has recorded; it
// is zero if the group is done or placed. The row does not contain it, but a change of holder takes
// longer than RelaxAfter, so that much of the wait counts as over. Otherwise a gang that has lost a
// worker waits for its rack anew after each change of holder: with four changes in a row it waited 3 s,
// and 3 s again.
func (c *Core) restoredPreferenceWait(now time.Time, row *poolpb.GroupState) time.Time {
	if row.GetDone() || len(row.GetMembers()) > 0 {
		return time.Time{}
	}
	return now.Add(-c.settings.RelaxAfter)
}

func (c *Core) restoreGroup(now time.Time, g *group, row *poolpb.GroupState) {
	g.preferenceWaitSince = c.restoredPreferenceWait(now, row)
	g.done = row.GetDone()
	g.doneAt = now
	g.run = int(row.GetRun())
	g.failures = int(row.GetFailures())
	g.lastFailedRun = int(row.GetFailedRun())
	g.resumeFrom = row.GetSaved()
	g.latestSaved = g.resumeFrom
	c.restoreCrashes(now, g, row.GetCrashes())
	g.extraStarts = int(row.GetExtraStarts())
	complete := len(row.GetMembers()) == g.size
	for i, memberRow := range row.GetMembers() {
		if memberRow.GetAgent() == "" {
			complete = false
			continue
		}
		c.restoreMember(now, g, g.first+i, memberRow)
	}
	if g.placed() && !complete {
		c.abort(now, g)
	}
}

// restoreCrashes restores the crashes under a group. For a worker that was only silent, the next report
// of its agent resolves whether it crashed.
func (c *Core) restoreCrashes(now time.Time, g *group, rows []*poolpb.CrashState) {
	g.job.anyCrash = g.job.anyCrash || len(rows) > 0
	for _, k := range rows {
		g.crashes = append(g.crashes, crash{
			index:    int(k.GetIndex()),
			run:      int(k.GetRun()),
			starts:   restoredStartLog(k.GetStarted()),
			agent:    k.GetAgent(),
			instance: instance.Parse(k.GetInstance()),
			after:    time.Duration(k.GetAfterMs()) * time.Millisecond,
			alone:    k.GetAlone(),
			certain:  k.GetCertain(),
			inexact:  k.GetInexact(),
		})
		if !k.GetCertain() {
			c.worker(now, k.GetAgent()).crashUnresolved = true
		}
	}
	g.updateSuspicion()
}

func (c *Core) restoreMember(now time.Time, g *group, index int, memberRow *poolpb.MemberState) {
	w := c.worker(now, memberRow.GetAgent())
	m := &member{
		group:      g,
		index:      index,
		worker:     w,
		instance:   instance.Parse(memberRow.GetInstance()),
		phase:      memberUnknown,
		maybeSent:  true,
		restored:   true,
		nextSendAt: now,

		startDeadline: w.leaseEnd,
		starts:        &startLog{index: index, run: g.run, agent: w.agent, unknown: 1},
	}
	g.startLogs = append(g.startLogs, m.starts)
	g.members = append(g.members, m)
	g.orderedAt = now
	w.members = append(w.members, m)
}

// StateOf decodes the state of a job from its row in the state table. A job without a row is queued.
func StateOf(row store.Row) (State, error) {
	content, err := unmarshalState(row.Value)
	if err != nil {
		return Queued, &Error{Op: "decode state " + row.Key.Name, Kind: KindCorrupt, Err: err}
	}
	for state, value := range stateToRow {
		if value == content.GetState() {
			return state, nil
		}
	}
	return Queued, &Error{Op: "decode state " + row.Key.Name, Kind: KindCorrupt}
}

// WaitingOf decodes the number of waiting jobs of a queue from the summary row; 0 if there is no row.
func WaitingOf(row store.Row, queue string) (int, error) {
	if row.Version == 0 {
		return 0, nil
	}
	content := &poolpb.SummaryRow{}
	err := proto.Unmarshal(row.Value, content)
	waiting := content.GetWaitingByQueue()[queue]
	if err != nil || content.GetLayout() != rowLayout || waiting < 0 {
		return 0, &Error{Op: "decode row " + row.Key.Name, Kind: KindCorrupt, Err: err}
	}
	return int(waiting), nil
}
