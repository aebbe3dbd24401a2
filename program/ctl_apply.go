package program

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/declare"
)

// Outcomes of apply for a resource.
const (
	verbCreated   = "created"
	verbChanged   = "changed"
	verbUnchanged = "unchanged"
)

// applyCommand returns the command that creates and changes resources as a folder declares them.
func (c *ctl) applyCommand() *ffcli.Command {
	flags := c.flagSet("apply")
	folder := flags.String("f", "", "folder with declarations")
	dryRun := flags.Bool("dry-run", false, "only show what would change")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "hollyforkctl apply -f DIR [-dry-run]",
		ShortHelp:  "make workspaces and services what a folder declares",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *folder == "" {
				return usageErrorf("name a folder with -f")
			}
			set, err := declare.Read(os.DirFS(*folder))
			if err != nil {
				return err
			}
			return c.apply(ctx, set, *dryRun)
		},
	}
}

// resource is a resource that a folder can declare.
type resource interface {
	proto.Message

	GetName() string
	GetVersion() uint64
}

// apply puts the resources that differ from their declaration. Each put is conditional on the version that was
// compared.
func (c *ctl) apply(ctx context.Context, set *declare.Set, dryRun bool) error {
	api := c.client()
	workspaces, err := api.Workspaces(ctx)
	if err != nil {
		return err
	}
	services, err := api.Services(ctx)
	if err != nil {
		return err
	}
	for _, ws := range set.Workspaces {
		old := findByName(workspaces.GetWorkspaces(), ws.GetName())
		ws.Version = old.GetVersion()
		err := applyResource(c, "workspace", ws, old, dryRun, func() error {
			_, err := api.PutWorkspace(ctx, ws, old.GetVersion())
			return err
		})
		if err != nil {
			return err
		}
	}
	for _, s := range set.Services {
		old := findByName(services.GetServices(), s.GetName())
		s.Version = old.GetVersion()
		err := applyResource(c, "service", s, old, dryRun, func() error {
			_, err := api.PutService(ctx, s, old.GetVersion())
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// findByName returns the resource with the given name, or nil if there is none.
func findByName[T resource](list []T, name string) (found T) {
	for _, item := range list {
		if item.GetName() == name {
			return item
		}
	}
	return found
}

// applyResource puts a resource if it differs from its declaration, and prints the outcome.
func applyResource[T resource](c *ctl, kind string, wanted, old T, dryRun bool, put func() error) error {
	verb := applyVerb(old.GetVersion() > 0, proto.Equal(old, wanted))
	if verb != verbUnchanged && !dryRun {
		if err := put(); err != nil {
			return fmt.Errorf("%s %s: %w", kind, wanted.GetName(), err)
		}
	}
	return c.printApplied(kind, wanted.GetName(), verb, dryRun)
}

func applyVerb(exists, equal bool) string {
	switch {
	case !exists:
		return verbCreated
	case equal:
		return verbUnchanged
	default:
		return verbChanged
	}
}

func (c *ctl) printApplied(kind, name, verb string, dryRun bool) error {
	note := ""
	if dryRun && verb != verbUnchanged {
		note = " (dry run)"
	}
	_, err := fmt.Fprintf(c.stdout, "%s %s %s%s\n", kind, name, verb, note)
	return err
}
