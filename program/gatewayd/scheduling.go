package gatewayd

import (
	"time"

	"hollyfork.example/hollyfork/pool"
	"hollyfork.example/hollyfork/settings"
)

// maxWorkerTime is the maximum of the settings that state times of workers.
const maxWorkerTime = time.Minute

// schedulingOptions are the settings in the section [scheduling].
type schedulingOptions struct {
	learnLengths       *bool
	rememberPaces      *bool
	chooseStarts       *bool
	protectBackground  *bool
	observeHeadroom    *bool
	shareCrowding      *bool
	workspaceWeights   *map[string]float64
	stopTime           *time.Duration
	checkpointInterval *time.Duration
	restoreTime        *time.Duration
}

// addSchedulingOptions adds the settings of the section to s.
func addSchedulingOptions(s *settings.Set) schedulingOptions {
	return schedulingOptions{
		learnLengths:       settings.AddBool(s, "scheduling.learn-lengths", "predict run lengths from the observed accuracy of callers' estimates"),
		rememberPaces:      settings.AddBool(s, "scheduling.remember-paces", "keep the pace of a worker across its instances and across holders"),
		chooseStarts:       settings.AddBool(s, "scheduling.choose-starts", "start urgent jobs now or later, by their chance of being in time"),
		protectBackground:  settings.AddBool(s, "scheduling.protect-background", "start background work where and when it is likely to end undisturbed"),
		observeHeadroom:    settings.AddBool(s, "scheduling.observe-headroom", "size the headroom for urgent work by its observed need"),
		shareCrowding:      settings.AddBool(s, "scheduling.share-crowding", "share the capacity by weight between workspaces whose urgent jobs cannot all be in time"),
		workspaceWeights:   settings.Add(s, "scheduling.workspace-weights", "", "weights of workspaces as NAME=WEIGHT, separated by commas; 1 for those not named", settings.Weights),
		stopTime:           settings.Add(s, "scheduling.stop-time", "0s", "longest time that a run takes to stop; 0s if not known", settings.Duration(0, maxWorkerTime)),
		checkpointInterval: settings.Add(s, "scheduling.checkpoint-interval", "0s", "interval at which a task saves its progress; 0s if not known", settings.Duration(0, maxWorkerTime)),
		restoreTime:        settings.Add(s, "scheduling.restore-time", "0s", "time that a resumed run needs before it makes progress; 0s if not known", settings.Duration(0, maxWorkerTime)),
	}
}

// value returns the settings as the pool takes them.
func (o schedulingOptions) value() pool.Scheduling {
	return pool.Scheduling{
		LearnLengths:       *o.learnLengths,
		RememberPaces:      *o.rememberPaces,
		ChooseStarts:       *o.chooseStarts,
		ProtectBackground:  *o.protectBackground,
		ObserveHeadroom:    *o.observeHeadroom,
		ShareCrowding:      *o.shareCrowding,
		WorkspaceWeights:   *o.workspaceWeights,
		StopTime:           *o.stopTime,
		CheckpointInterval: *o.checkpointInterval,
		RestoreTime:        *o.restoreTime,
	}
}
