package holder

import (
	"context"
	"errors"
	"time"

	"hollyfork.example/hollyfork/pool"
)

var errNoAdvisor = errors.New("no advice service is configured")

// Advisor returns the workers that the policy of a queue allows to run a step.
type Advisor interface {
	Ask(ctx context.Context, request pool.AdviceRequest) (pool.AdviceReply, error)
}

// askAdvice sends the next advice request, if there is one, to the advice service.
func (h *Holder) askAdvice(now time.Time) {
	request, ok := h.core.TakeAdviceRequest(now)
	if !ok {
		return
	}
	go func() {
		reply, err := h.ask(request)
		entry := h.host.deps.Logger.Info()
		if err != nil {
			entry = h.host.deps.Logger.Warn().Err(err)
		}
		entry.Str("pool", h.host.pool).Str("job", string(request.Step.Job)).Int("step", request.Step.Step).
			Int("workers", len(request.Workers)).Int("tickets", len(reply.Tickets)).Dur("valid", reply.Valid).Msg("holder: asked for advice")
		h.send(adviceResult{request: request, reply: reply, err: err})
	}()
}

func (h *Holder) ask(request pool.AdviceRequest) (pool.AdviceReply, error) {
	if h.host.deps.Advisor == nil {
		return pool.AdviceReply{}, &Error{Op: "ask for advice", Kind: KindAdvice, Err: errNoAdvisor}
	}
	return h.host.deps.Advisor.Ask(h.ctx, request)
}
