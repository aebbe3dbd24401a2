package program

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/proto"
	"sigs.k8s.io/yaml"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/wire"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// row is a line of a table.
type row []string

// print writes a resource in the requested format. The rows are its table, of which the first is the heading.
func (c *ctl) print(m proto.Message, rows ...row) error {
	if c.output == outputTable {
		return c.printTable(rows)
	}
	content, err := api.Marshal(m)
	if err != nil {
		return err
	}
	switch c.output {
	case outputJSON:
		content = append(content, '\n')
	case outputYAML:
		if content, err = yaml.JSONToYAML(content); err != nil {
			return err
		}
	default:
		return usageErrorf("-o: %q is not table, json or yaml", c.output)
	}
	_, err = c.stdout.Write(content)
	return err
}

func (c *ctl) printTable(rows []row) error {
	const padding = 2
	w := tabwriter.NewWriter(c.stdout, 0, 0, padding, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func jobRows(jobs ...*wire.Job) []row {
	rows := []row{{"ID", "WORKSPACE", "STATE", "EXECUTION", "HALL", "REASON"}}
	for _, j := range jobs {
		rows = append(rows, row{
			j.GetId(),
			j.GetSpec().GetWorkspace(),
			j.GetState().String(),
			j.GetExecution().String(),
			j.GetHall(),
			j.GetReason(),
		})
	}
	return rows
}

func workspaceRows(list ...*wire.Workspace) []row {
	rows := []row{{"NAME", "VERSION", "GUARANTEES"}}
	for _, ws := range list {
		var guarantees []string
		for _, g := range ws.GetGuarantees() {
			guarantees = append(guarantees, fmt.Sprintf("%s:%dx%d", g.GetHall(), g.GetCells(), g.GetCellAccelerators()))
		}
		rows = append(rows, row{ws.GetName(), fmt.Sprint(ws.GetVersion()), strings.Join(guarantees, " ")})
	}
	return rows
}

func serviceRows(list ...*wire.Service) []row {
	rows := []row{{"NAME", "VERSION", "WORKSPACE"}}
	for _, s := range list {
		rows = append(rows, row{s.GetName(), fmt.Sprint(s.GetVersion()), s.GetWorkspace()})
	}
	return rows
}

func hallRows(list ...*wire.Hall) []row {
	rows := []row{{"NAME", "HOLDER", "QUEUED", "RUNNING", "FREE", "WAITED FOR", "SHORT", "SET ASIDE", "STORE"}}
	for _, h := range list {
		store := "answers"
		if !h.GetStoreAvailable() {
			store = "fails"
		}
		rows = append(rows, row{
			h.GetName(),
			h.GetHolder(),
			fmt.Sprint(h.GetQueuedJobs()),
			fmt.Sprint(h.GetRunningJobs()),
			fmt.Sprint(h.GetFreeAccelerators()),
			fmt.Sprint(h.GetQueuedAccelerators()),
			fmt.Sprint(h.GetGuaranteedAcceleratorsShort()),
			strings.Join(h.GetWorkersSetAside(), ","),
			store,
		})
	}
	return rows
}

func workerRows(list ...*wire.Worker) []row {
	rows := []row{{"NAME", "HALL", "RACK", "FREE", "OF", "STATE"}}
	for _, w := range list {
		state := "ready"
		switch {
		case w.GetLeaving():
			state = "leaving"
		case !w.GetReachable():
			state = "unreachable"
		}
		rows = append(rows, row{
			w.GetName(),
			w.GetHall(),
			w.GetRack(),
			fmt.Sprint(w.GetFreeAccelerators()),
			fmt.Sprint(w.GetAccelerators()),
			state,
		})
	}
	return rows
}
