package policy

import "time"

// DefaultSettings are the default settings of a hall.
var DefaultSettings = Settings{
	TargetWait: [Urgent + 1]time.Duration{
		Low:    6 * time.Hour,
		Normal: time.Hour,
		High:   10 * time.Minute,
		Urgent: 0,
	},
	FinishMargin:          5 * time.Minute,
	FairShareDelay:        time.Hour,
	RepeatPreemptionCost:  30 * time.Minute,
	Reserve:               true,
	ReserveAfter:          2 * time.Hour,
	ReserveAnyAfter:       8 * time.Hour,
	LargeGangAccelerators: 24,
	ReserveInterval:       5 * time.Second,
	ReservationRefresh:    time.Minute,
	ReservationSwitchGain: 20 * time.Minute,
	HeadroomHalfLife:      10 * time.Minute,
	LearnRunTimes:         true,
	MaxQuarantinedPercent: 20,
	MinQuarantine:         10 * time.Minute,
	MaxQuarantine:         4 * time.Hour,
	RetryDelay:            200 * time.Millisecond,
	MaxRetryDelay:         30 * time.Second,
}

// Settings tune the decisions of a hall.
type Settings struct {
	// TargetWait is how long a job of each priority may wait before it goes ahead of all newer jobs.
	TargetWait [Urgent + 1]time.Duration
	// FinishMargin is how much earlier than necessary a job with a finish-by time should start.
	FinishMargin time.Duration
	// FairShareDelay is how far the jobs of a workspace move back in the queue if it borrows the whole
	// hall. If it borrows a part, they move back in proportion.
	FairShareDelay time.Duration
	// RepeatPreemptionCost is added to the estimated lost work of a job that was preempted before.
	RepeatPreemptionCost time.Duration
	// Reserve enables reservations: for a gang of at least LargeGangAccelerators accelerators that has
	// waited for ReserveAfter, or for any job that has waited for ReserveAnyAfter. The cells are
	// reviewed every ReservationRefresh. Others replace them if the current ones take more than twice
	// as long to become free plus ReservationSwitchGain.
	Reserve               bool
	ReserveAfter          time.Duration
	ReserveAnyAfter       time.Duration
	LargeGangAccelerators int
	// ReserveInterval is the time between searches for a job to reserve for.
	ReserveInterval       time.Duration
	ReservationRefresh    time.Duration
	ReservationSwitchGain time.Duration
	// HeadroomHalfLife is the time after which half of the guaranteed cells that short jobs have
	// stopped using may be lent again. With 0 all are lent at once.
	HeadroomHalfLife time.Duration
	// LearnRunTimes enables estimates from earlier runs instead of declared run times.
	LearnRunTimes bool
	// MaxQuarantinedPercent bounds the share of workers that may be quarantined because of consecutive
	// failures. One worker always may be, unless the value is 0.
	MaxQuarantinedPercent int
	// MinQuarantine is the length of a worker's first quarantine. It doubles each time, up to
	// MaxQuarantine.
	MinQuarantine time.Duration
	MaxQuarantine time.Duration
	// RetryDelay is the wait after a failed start. It doubles with each further failure, up to
	// MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
}
