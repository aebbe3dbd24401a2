package api

import (
	"fmt"
	"regexp"
	"slices"
	"unicode/utf8"

	"hollyfork.example/wire"
)

// Limits of the fields of requests.
const (
	MaxTasks          = 256
	MaxCPUMillis      = 1_024_000
	MaxMemoryMB       = 16 << 20
	MaxCommandWords   = 64
	MaxCommandBytes   = 4096
	MaxKeyBytes       = 128
	MaxGuarantees     = 256
	MaxGuaranteeCells = 10_000
	MaxQueuedJobs     = 1_000_000
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	cellSizes   = []int32{1, 2, 4, 8}
)

// CheckName returns an error unless a resource's name consists of 1 to 63 lower-case letters, digits and inner
// hyphens.
func CheckName(field, name string) error {
	if !namePattern.MatchString(name) {
		return NewFieldError(field, "must be 1 to 63 small letters, digits and inner hyphens")
	}
	return nil
}

// CheckKey returns an error if an idempotency key is invalid.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes || !utf8.ValidString(key) {
		return NewFieldError("Idempotency-Key", fmt.Sprintf("must be 1 to %d bytes of text", MaxKeyBytes))
	}
	return nil
}

// CheckJob returns an error for the first invalid field of a job. The job's hall must be empty or one of halls.
func CheckJob(spec *wire.JobSpec, halls []string) error {
	if err := CheckName("workspace", spec.GetWorkspace()); err != nil {
		return err
	}
	if spec.GetService() != "" {
		if err := CheckName("service", spec.GetService()); err != nil {
			return err
		}
	}
	if err := checkEnums(spec); err != nil {
		return err
	}
	if err := checkShape(spec.GetShape()); err != nil {
		return err
	}
	if err := checkRange("tasks", spec.GetTasks(), 0, MaxTasks); err != nil {
		return err
	}
	if spec.GetExpectedRunMs() < 0 {
		return NewFieldError("expected_run_ms", "must not be negative")
	}
	if spec.GetFinishBy() != nil && !spec.GetFinishBy().IsValid() {
		return NewFieldError("finish_by", "is not a valid time")
	}
	if err := checkCommand(spec.GetCommand()); err != nil {
		return err
	}
	return checkHall("hall", spec.GetHall(), halls)
}

func checkEnums(spec *wire.JobSpec) error {
	if _, ok := wire.Priority_Value_name[int32(spec.GetPriority())]; !ok {
		return NewFieldError("priority", "must be LOW, NORMAL, HIGH or URGENT")
	}
	if _, ok := wire.Adjacency_Value_name[int32(spec.GetAdjacency())]; !ok {
		return NewFieldError("adjacency", "must be HALL, RACK or WORKER")
	}
	return nil
}

func checkShape(shape *wire.Shape) error {
	if shape.GetAccelerators() != 0 && !slices.Contains(cellSizes, shape.GetAccelerators()) {
		return NewFieldError("shape.accelerators", "must be 0, 1, 2, 4 or 8")
	}
	if err := checkRange("shape.cpu_millis", shape.GetCpuMillis(), 0, MaxCPUMillis); err != nil {
		return err
	}
	return checkRange("shape.memory_mb", shape.GetMemoryMb(), 0, MaxMemoryMB)
}

func checkRange(field string, value, low, high int32) error {
	if value < low || value > high {
		return NewFieldError(field, fmt.Sprintf("must be %d to %d", low, high))
	}
	return nil
}

func checkCommand(command []string) error {
	total := 0
	for _, word := range command {
		total += len(word)
	}
	if len(command) == 0 || len(command) > MaxCommandWords || total > MaxCommandBytes {
		return NewFieldError("command", fmt.Sprintf("must have 1 to %d words of at most %d bytes in all", MaxCommandWords, MaxCommandBytes))
	}
	return nil
}

func checkHall(field, hall string, halls []string) error {
	if hall != "" && !slices.Contains(halls, hall) {
		return NewFieldError(field, "is not a known hall")
	}
	return nil
}

// CheckWorkspace returns an error for the first invalid field of a workspace.
func CheckWorkspace(ws *wire.Workspace, halls []string) error {
	if err := CheckName("name", ws.GetName()); err != nil {
		return err
	}
	if len(ws.GetGuarantees()) > MaxGuarantees {
		return NewFieldError("guarantees", fmt.Sprintf("must be at most %d", MaxGuarantees))
	}
	for i, g := range ws.GetGuarantees() {
		if err := checkGuarantee(fmt.Sprintf("guarantees[%d]", i), g, halls); err != nil {
			return err
		}
	}
	return checkRange("max_queued_jobs", ws.GetMaxQueuedJobs(), 0, MaxQueuedJobs)
}

func checkGuarantee(field string, g *wire.Guarantee, halls []string) error {
	if g.GetHall() == "" {
		return NewFieldError(field+".hall", "must name a hall")
	}
	if err := checkHall(field+".hall", g.GetHall(), halls); err != nil {
		return err
	}
	if !slices.Contains(cellSizes, g.GetCellAccelerators()) {
		return NewFieldError(field+".cell_accelerators", "must be 1, 2, 4 or 8")
	}
	return checkRange(field+".cells", g.GetCells(), 1, MaxGuaranteeCells)
}

// CheckService returns an error for the first invalid field of a service.
func CheckService(s *wire.Service) error {
	if err := CheckName("name", s.GetName()); err != nil {
		return err
	}
	return CheckName("workspace", s.GetWorkspace())
}
