package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/hollyfork/backoff"
	"hollyfork.example/hollyfork/hall"
	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

const (
	// maxConfigAttempts limits the attempts to commit a change that conflicts with concurrent changes.
	maxConfigAttempts = 8
	configRetryDelay  = 50 * time.Millisecond
	// commitTimeout limits the time to commit a change to the store.
	commitTimeout = 5 * time.Second
	ifMatch       = "If-Match"
	ifNoneMatch   = "If-None-Match"
	anyVersion    = "*"
	maxResources  = 10_000
)

var errConflict = errors.New("another change of the configuration was committed first")

// configEdit edits a copy of the configuration in place. The copy already has the version of the new configuration.
type configEdit func(ctx context.Context, config *wire.Configuration) error

// updateConfig applies an edit to the configuration and commits the result, or returns an error. The commit is a
// compare-and-set of the whole row, and after a conflict the edit is applied to the new row, so that no concurrent
// change is overwritten unnoticed.
func (e *Entry) updateConfig(ctx context.Context, edit configEdit) error {
	for range maxConfigAttempts {
		err := e.tryUpdateConfig(ctx, edit)
		if !errors.Is(err, errConflict) {
			return err
		}
		backoff.Sleep(ctx, configRetryDelay)
	}
	return api.NewError(api.KindOverloaded, "others change the configuration at the same time").WithRetryAfter(retryAfter)
}

func (e *Entry) tryUpdateConfig(ctx context.Context, edit configEdit) error {
	config, version, err := hall.ReadConfig(ctx, e.deps.Store)
	if err != nil {
		return storeUnavailable()
	}
	changed := proto.CloneOf(config)
	changed.Version++
	changed.Transaction = uuid.NewString()
	if err := edit(ctx, changed); err != nil {
		return err
	}
	if len(changed.GetWorkspaces())+len(changed.GetServices()) > maxResources {
		return api.NewError(api.KindInUse, "there are as many workspaces and services as there may be")
	}
	if err := e.commitConfig(ctx, changed, version); err != nil {
		return err
	}
	e.deps.System.Root.Send(e.catalog, configRead{config: changed})
	return nil
}

// commitConfig replaces the given version of the configuration row.
func (e *Entry) commitConfig(ctx context.Context, config *wire.Configuration, version uint64) error {
	content, err := proto.Marshal(config)
	if err != nil {
		return err
	}
	guard := store.Guard{
		Key:     hall.ConfigKey,
		Version: version,
		Value:   content,
		Matches: func(row store.Row) bool {
			found := &wire.Configuration{}
			return proto.Unmarshal(row.Value, found) == nil && found.GetTransaction() == config.GetTransaction()
		},
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err = store.CommitUntilResolved(ctx, e.deps.Store, guard, store.Txn{Writes: []store.Write{
		{Key: hall.ConfigVersionKey, Value: hall.ConfigVersionRow(config.GetVersion())},
	}}, nil)
	switch store.KindOf(err) {
	case store.KindGuardReplaced:
		return errConflict
	case store.KindOutcomeUnknown:
		return api.NewError(api.KindStoreUnavailable, "the change was not confirmed; read the resource before repeating it").WithRetryAfter(retryAfter)
	default:
		return err
	}
}

// precondition holds the If-Match and If-None-Match headers of a request.
type precondition struct {
	match     string
	noneMatch string
}

func preconditionOf(r *http.Request) precondition {
	return precondition{match: r.Header.Get(ifMatch), noneMatch: r.Header.Get(ifNoneMatch)}
}

// check returns an error unless a resource at the given version, 0 if it does not exist, may be replaced. A request
// must name the version that it replaces.
func (p precondition) check(version uint64) error {
	exists := version > 0
	switch {
	case p.noneMatch == anyVersion && exists:
		return api.NewError(api.KindPreconditionFailed, "the resource exists")
	case p.match == "" && exists:
		return api.NewError(api.KindPreconditionRequired, "name the version to replace in If-Match")
	case p.match == "":
		return nil
	case p.match == anyVersion && exists:
		return nil
	case !exists:
		return api.NewError(api.KindPreconditionFailed, "the resource does not exist")
	case p.match != etag(version):
		return api.NewError(api.KindPreconditionFailed, "the resource has changed; its version is "+strings.Trim(etag(version), `"`))
	default:
		return nil
	}
}

// checkGuarantees returns an error if the guarantees of a configuration do not fit into one of the halls.
func (e *Entry) checkGuarantees(ctx context.Context, config *wire.Configuration, halls []string) error {
	for _, name := range halls {
		vms, err := e.deps.VMs.List(ctx, name)
		if err != nil {
			return api.NewError(api.KindStoreUnavailable, "the platform's list of VMs does not answer").WithRetryAfter(retryAfter)
		}
		if err := hall.CheckGuarantees(config, name, vms); err != nil {
			return api.NewError(api.KindInfeasible, err.Error())
		}
	}
	return nil
}

// hallsOf returns the halls of a workspace's guarantees, without duplicates.
func hallsOf(ws *wire.Workspace) []string {
	var halls []string
	for _, g := range ws.GetGuarantees() {
		if !slices.Contains(halls, g.GetHall()) {
			halls = append(halls, g.GetHall())
		}
	}
	return halls
}
