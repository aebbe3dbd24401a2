package hall

import (
	"time"

	"hollyfork.example/hollyfork/mailbox"
	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

// Messages to the holder's actor.
type (
	submitAsk = mailbox.Ask[*wire.SubmitRequest, *wire.SubmitReply]
	getAsk    = mailbox.Ask[*wire.GetJobRequest, *wire.JobReply]
	listAsk   = mailbox.Ask[*wire.ListJobsRequest, *wire.ListJobsReply]
	cancelAsk = mailbox.Ask[*wire.CancelJobRequest, *wire.JobReply]
	watchAsk  = mailbox.Ask[*wire.WatchRequest, *wire.WatchReply]
	statusAsk = mailbox.Ask[*wire.HallStatusRequest, *wire.HallStatus]
	moveAsk   = mailbox.Ask[*wire.MoveRequest, *wire.MoveReply]
	dumpAsk   = mailbox.Ask[dumpRequest, State]
	syncAsk   = mailbox.Ask[syncQuery, *wire.SyncRequest]
	stopAsk   = mailbox.Ask[stopRequest, stopRequest]

	dumpRequest struct{}
	stopRequest struct{}
	// syncQuery requests the renewal to send to a worker's agent.
	syncQuery struct{ worker string }

	tick struct{}

	commitResult struct {
		// agentLease is the longest lease of an agent that the transaction records.
		agentLease time.Duration
		err        error
	}
	storeFailure struct{ err error }

	vmList struct {
		vms []platform.VM
	}
	movedRows struct {
		rows []store.Row
	}
	configUpdate struct {
		config *wire.Configuration
	}
	syncResult struct {
		worker  string
		request *wire.SyncRequest
		reply   *wire.SyncReply
	}
	prepareResult struct {
		call  PrepareCall
		reply *wire.PrepareReply
	}
	startResult struct {
		call  StartCall
		reply *wire.StartReply
	}
	revokeResult struct {
		call  RevokeCall
		reply *wire.RevokeReply
	}
)

// pendingWatch is a watch request that waits for a change.
type pendingWatch struct {
	ask      watchAsk
	after    uint64
	deadline time.Time
}

// pendingSubmit is a submit request that waits for a newer configuration.
type pendingSubmit struct {
	ask      submitAsk
	deadline time.Time
}
