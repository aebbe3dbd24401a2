// Package actors creates actor systems. It is separate from package process so that small programs do not
// depend on the actor library.
package actors

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"
)

// NewSystem returns an actor system that logs its own messages at level warn and above.
func NewSystem(logger *log.Logger) *actor.ActorSystem {
	warnings := *logger
	warnings.Level = max(warnings.Level, log.WarnLevel)
	config := actor.Configure(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return warnings.Slog()
	}))
	return actor.NewActorSystemWithConfig(config)
}
