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
	syncAsk   = mailbox.Ask[syncQuestion, *wire.SyncRequest]
	stopAsk   = mailbox.Ask[stopRequest, stopRequest]

	dumpRequest struct{}
	stopRequest struct{}
	// syncQuestion asks for the renewal to send to a worker's agent.
	syncQuestion struct{ worker string }

	tick struct{}

	batchDone    struct{ err error }
	storeTrouble struct{ err error }

	vmsRead struct {
		vms []platform.VM
	}
	movedRead struct {
		rows []store.Row
	}
	configRead struct {
		config *wire.Configuration
	}
	synced struct {
		worker  string
		request *wire.SyncRequest
		reply   *wire.SyncReply
	}
	prepared struct {
		call  PrepareCall
		reply *wire.PrepareReply
	}
	startAnswered struct {
		call  StartCall
		reply *wire.StartReply
	}
	revokeAnswered struct {
		call  RevokeCall
		reply *wire.RevokeReply
	}
)

// parkedWatch is a watcher that waits for a change.
type parkedWatch struct {
	ask   watchAsk
	after uint64
	until time.Time
}

// earlySubmit is a request that relies on a configuration that is not known yet.
type earlySubmit struct {
	ask   submitAsk
	until time.Time
}
