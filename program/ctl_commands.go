package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"hollyfork.example/hollyfork/declare"
	"hollyfork.example/wire"
)

const listLimit = 1000

// getCommand returns the command that shows resources.
func (c *ctl) getCommand() *ffcli.Command {
	flags := c.flagSet("get")
	workspace := flags.String("workspace", "", "only jobs of this workspace")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "hollyforkctl get jobs|workspaces|services|halls|workers | get job ID",
		ShortHelp:  "show resources",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 2 && args[0] == "job" {
				return c.getJob(ctx, args[1])
			}
			what, err := singleArg(args, "kind: jobs, workspaces, services, halls or workers")
			if err != nil {
				return err
			}
			return c.getList(ctx, what, *workspace)
		},
	}
}

func (c *ctl) getJob(ctx context.Context, id string) error {
	job, err := c.client().Job(ctx, id)
	if err != nil {
		return err
	}
	return c.print(job, jobRows(job)...)
}

func (c *ctl) getList(ctx context.Context, what, workspace string) error {
	switch what {
	case "jobs":
		list, err := c.client().Jobs(ctx, workspace, listLimit)
		if err != nil {
			return err
		}
		c.warnMissing(list.GetMissingHalls())
		return c.print(list, jobRows(list.GetJobs()...)...)
	case "workspaces":
		list, err := c.client().Workspaces(ctx)
		if err != nil {
			return err
		}
		return c.print(list, workspaceRows(list.GetWorkspaces()...)...)
	case "services":
		list, err := c.client().Services(ctx)
		if err != nil {
			return err
		}
		return c.print(list, serviceRows(list.GetServices()...)...)
	case "halls":
		list, err := c.client().Halls(ctx)
		if err != nil {
			return err
		}
		c.warnMissing(list.GetMissingHalls())
		return c.print(list, hallRows(list.GetHalls()...)...)
	case "workers":
		list, err := c.client().Workers(ctx)
		if err != nil {
			return err
		}
		c.warnMissing(list.GetMissingHalls())
		return c.print(list, workerRows(list.GetWorkers()...)...)
	default:
		return usageErrorf("no such kind: %s", what)
	}
}

// warnMissing prints the halls that are missing from a list because they did not answer.
func (c *ctl) warnMissing(halls []string) {
	if len(halls) > 0 {
		_, _ = fmt.Fprintf(c.stderr, "not answered: %s\n", strings.Join(halls, ", "))
	}
}

// submitCommand returns the command that submits the jobs of a file.
func (c *ctl) submitCommand() *ffcli.Command {
	flags := c.flagSet("submit")
	file := flags.String("f", "", "file with Job documents")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "hollyforkctl submit -f FILE",
		ShortHelp:  "submit jobs; the same keys again submit nothing twice",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *file == "" {
				return usageErrorf("name a file with -f")
			}
			content, err := os.ReadFile(*file)
			if err != nil {
				return usageErrorf("%v", err)
			}
			set, err := declare.ReadFile(*file, content)
			if err != nil {
				return err
			}
			return c.submit(ctx, set.Jobs)
		},
	}
}

func (c *ctl) submit(ctx context.Context, jobs []declare.Job) error {
	for _, declared := range jobs {
		for n := range declared.Copies {
			key := declared.Key
			if declared.Copies > 1 {
				key = fmt.Sprintf("%s-%d", declared.Key, n+1)
			}
			job, created, err := c.client().Submit(ctx, key, declared.Spec)
			if err != nil {
				return fmt.Errorf("job %s: %w", key, err)
			}
			verb := "accepted"
			if !created {
				verb = "accepted before"
			}
			if _, err := fmt.Fprintf(c.stdout, "job %s %s as %s\n", key, verb, job.GetId()); err != nil {
				return err
			}
		}
	}
	return nil
}

// watchCommand returns the command that follows the changes of jobs.
func (c *ctl) watchCommand() *ffcli.Command {
	flags := c.flagSet("watch")
	workspace := flags.String("workspace", "", "only jobs of this workspace")
	after := flags.String("after", "", "position after which to resume")
	until := flags.String("until-ended", "", "exit when the job with this ID has ended")
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "hollyforkctl watch [-workspace NAME] [-after POSITION] [-until-ended ID]",
		ShortHelp:  "follow the changes of jobs",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			return c.watch(ctx, *workspace, *after, *until)
		},
	}
}

// watch prints a line for each change. It reads the job that it waits for once after the stream has begun, because
// the stream does not contain the end of a job that ended before.
func (c *ctl) watch(ctx context.Context, workspace, after, until string) error {
	lookedUp := until == ""
	var lookupErr error
	err := c.client().Watch(ctx, workspace, after, func(event *wire.Event) bool {
		job := event.GetJob()
		if job == nil && !lookedUp {
			lookedUp = true
			job, lookupErr = c.client().Job(ctx, until)
			if lookupErr != nil {
				return false
			}
		}
		if job == nil {
			return true
		}
		_, _ = fmt.Fprintf(c.stdout, "%s %s %s %s%s\n", job.GetId(), job.GetSpec().GetWorkspace(), job.GetState(), job.GetReason(), placementText(job))
		return job.GetId() != until || job.GetState() < wire.JobState_FINISHED
	})
	return errors.Join(lookupErr, err)
}

// cancelCommand returns the command that cancels a job.
func (c *ctl) cancelCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "cancel",
		ShortUsage: "hollyforkctl cancel ID",
		ShortHelp:  "cancel a job",
		FlagSet:    c.flagSet("cancel"),
		Exec: func(ctx context.Context, args []string) error {
			id, err := singleArg(args, "job")
			if err != nil {
				return err
			}
			job, err := c.client().Cancel(ctx, id)
			if err != nil {
				return err
			}
			return c.print(job, jobRows(job)...)
		},
	}
}

// explainCommand returns the command that shows the state of a job and the reason for it.
func (c *ctl) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "hollyforkctl explain ID",
		ShortHelp:  "say why a job is where it is",
		FlagSet:    c.flagSet("explain"),
		Exec: func(ctx context.Context, args []string) error {
			id, err := singleArg(args, "job")
			if err != nil {
				return err
			}
			job, err := c.client().Job(ctx, id)
			if err != nil {
				return err
			}
			return c.print(job, explainRows(job)...)
		},
	}
}

func explainRows(job *wire.Job) []row {
	rows := []row{
		{"Job", job.GetId()},
		{"State", job.GetState().String()},
		{"Why", job.GetReason()},
		{"Ever run", job.GetExecution().String()},
		{"Attempts", fmt.Sprint(job.GetAttempt())},
	}
	for i, p := range job.GetPlacement() {
		rows = append(rows, row{fmt.Sprintf("Task %d", i), strings.TrimPrefix(placementText(&wire.Job{Placement: []*wire.TaskPlacement{p}}), " on ")})
	}
	return rows
}

// drainCommand returns the command that drains a worker, or the one that ends the draining.
func (c *ctl) drainCommand(name string, drained bool) *ffcli.Command {
	help := "let a worker take new work again"
	if drained {
		help = "give a worker no new work"
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "hollyforkctl " + name + " WORKER",
		ShortHelp:  help,
		FlagSet:    c.flagSet(name),
		Exec: func(ctx context.Context, args []string) error {
			worker, err := singleArg(args, "worker")
			if err != nil {
				return err
			}
			if _, err = c.client().SetDrained(ctx, worker, drained); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.stdout, "worker %s %sed\n", worker, name)
			return err
		},
	}
}

// configCommand returns the command that shows which processes have activated the newest configuration.
func (c *ctl) configCommand() *ffcli.Command {
	status := &ffcli.Command{
		Name:       "status",
		ShortUsage: "hollyforkctl config status",
		ShortHelp:  "say where the newest configuration is in force",
		FlagSet:    c.flagSet("config status"),
		Exec: func(ctx context.Context, _ []string) error {
			s, err := c.client().Configuration(ctx)
			if err != nil {
				return err
			}
			c.warnMissing(s.GetMissingHalls())
			rows := []row{{"VERSION", "IN FORCE", "BEHIND"}}
			rows = append(rows, row{
				fmt.Sprint(s.GetVersion()),
				fmt.Sprintf("%d of %d", s.GetConfirmed(), s.GetExpected()),
				strings.Join(s.GetBehind(), ", "),
			})
			return c.print(s, rows...)
		},
	}
	return &ffcli.Command{
		Name:        "config",
		ShortUsage:  "hollyforkctl config status",
		ShortHelp:   "ask about the configuration",
		FlagSet:     c.flagSet("config"),
		Subcommands: []*ffcli.Command{status},
		Exec:        func(context.Context, []string) error { return usageErrorf("name what to do: status") },
	}
}
