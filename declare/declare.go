// Package declare reads declarations of resources from files, which are meant to be kept in version control. A file
// contains YAML or JSON documents, each with a kind and the fields of that resource in the wire schema.
package declare

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/proto"
	sigsyaml "sigs.k8s.io/yaml"

	"hollyfork.example/hollyfork/api"
	"hollyfork.example/wire"
)

// Kinds of documents.
const (
	KindWorkspace = "Workspace"
	KindService   = "Service"
	KindJob       = "Job"

	opParse = "parse"

	kindField   = "kind"
	keyField    = "key"
	copiesField = "copies"
	maxCopies   = 10_000
)

var (
	suffixes       = []string{".yaml", ".yml", ".json"}
	unknownField   = regexp.MustCompile(`unknown field "([^"]+)"`)
	invalidElement = regexp.MustCompile(`for (?:enum|\w+) field (\w+)`)
)

// Error describes a fault of a declaration, with its file and line. It is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	File string
	// Line is the line number, starting at 1; 0 if the fault concerns the whole file.
	Line int
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.Err.Error()
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Set is a set of declared resources.
type Set struct {
	Workspaces []*wire.Workspace
	Services   []*wire.Service
	Jobs       []Job
}

// Job is a declared job.
type Job struct {
	// Key is the idempotency key. For several copies, a number is appended to it.
	Key string
	// Copies is the number of jobs to submit, at least 1.
	Copies int
	Spec   *wire.JobSpec
}

// Read reads all declarations in a file system. The error lists all faults, with their files and lines.
func Read(files fs.FS) (*Set, error) {
	set := &Set{}
	var faults []error
	err := fs.WalkDir(files, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !slices.Contains(suffixes, path.Ext(name)) {
			return err
		}
		content, err := fs.ReadFile(files, name)
		if err != nil {
			return err
		}
		faults = append(faults, set.readFile(name, content)...)
		return nil
	})
	if err != nil {
		return nil, &Error{Op: "read", File: ".", Err: err}
	}
	return set, errors.Join(faults...)
}

// ReadFile reads the declarations of one file.
func ReadFile(name string, content []byte) (*Set, error) {
	set := &Set{}
	return set, errors.Join(set.readFile(name, content)...)
}

func (s *Set) readFile(name string, content []byte) []error {
	var faults []error
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		document := &yaml.Node{}
		err := decoder.Decode(document)
		if errors.Is(err, io.EOF) {
			return faults
		}
		if err != nil {
			return append(faults, &Error{Op: opParse, File: name, Err: errors.New(strings.TrimPrefix(err.Error(), "yaml: "))})
		}
		if err := s.readDocument(name, document.Content[0]); err != nil {
			faults = append(faults, err)
		}
	}
}

// readDocument decodes a document and adds its resource to the set.
func (s *Set) readDocument(file string, node *yaml.Node) error {
	if node.Kind != yaml.MappingNode {
		return &Error{Op: opParse, File: file, Line: node.Line, Err: errors.New("is not a mapping")}
	}
	kind, rest := extractField(node, kindField)
	switch kind {
	case KindWorkspace:
		ws := &wire.Workspace{}
		s.Workspaces = append(s.Workspaces, ws)
		return decodeInto(file, rest, ws)
	case KindService:
		service := &wire.Service{}
		s.Services = append(s.Services, service)
		return decodeInto(file, rest, service)
	case KindJob:
		return s.readJob(file, rest)
	default:
		return &Error{Op: opParse, File: file, Line: node.Line, Err: fmt.Errorf("kind %q is not Workspace, Service or Job", kind)}
	}
}

func (s *Set) readJob(file string, node *yaml.Node) error {
	key, rest := extractField(node, keyField)
	copiesText, rest := extractField(rest, copiesField)
	job := Job{Key: key, Copies: 1, Spec: &wire.JobSpec{}}
	if copiesText != "" {
		_, err := fmt.Sscan(copiesText, &job.Copies)
		if err != nil || job.Copies < 1 || job.Copies > maxCopies {
			return &Error{Op: opParse, File: file, Line: node.Line, Err: fmt.Errorf("copies: must be 1 to %d", maxCopies)}
		}
	}
	s.Jobs = append(s.Jobs, job)
	return decodeInto(file, rest, job.Spec)
}

// extractField returns the value of a field, and a copy of the mapping without that field.
func extractField(node *yaml.Node, field string) (string, *yaml.Node) {
	rest := *node
	rest.Content = nil
	text := ""
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == field {
			text = node.Content[i+1].Value
			continue
		}
		rest.Content = append(rest.Content, node.Content[i], node.Content[i+1])
	}
	return text, &rest
}

// decodeInto decodes a mapping into a resource. Unknown and duplicate fields are errors.
func decodeInto(file string, node *yaml.Node, m proto.Message) error {
	text, err := yaml.Marshal(node)
	if err != nil {
		return &Error{Op: opParse, File: file, Line: node.Line, Err: err}
	}
	content, err := sigsyaml.YAMLToJSONStrict(text)
	if err != nil {
		return &Error{Op: opParse, File: file, Line: node.Line, Err: err}
	}
	err = api.Unmarshal(content, m)
	if err == nil {
		return nil
	}
	var failure *api.Error
	if !errors.As(err, &failure) {
		return err
	}
	return &Error{Op: opParse, File: file, Line: faultLine(node, failure.Detail), Err: errors.New(withoutPosition(failure.Detail))}
}

// withoutPosition removes the position from an error's text. It refers to the JSON that the document was converted
// to, which operators never see.
func withoutPosition(detail string) string {
	if !strings.HasPrefix(detail, "(line ") {
		return detail
	}
	_, rest, _ := strings.Cut(detail, "): ")
	return rest
}

// faultLine returns the line of the field that an error names, or of the document if the field is not found.
func faultLine(node *yaml.Node, detail string) int {
	for _, pattern := range []*regexp.Regexp{unknownField, invalidElement} {
		if match := pattern.FindStringSubmatch(detail); match != nil {
			if line := findKey(node, match[1]); line > 0 {
				return line
			}
		}
	}
	return node.Line
}

// findKey returns the line of the first field with a name, at any depth, or 0 if there is none.
func findKey(node *yaml.Node, key string) int {
	if node.Kind == yaml.MappingNode {
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == key {
				return node.Content[i].Line
			}
		}
	}
	for _, child := range node.Content {
		if line := findKey(child, key); line > 0 {
			return line
		}
	}
	return 0
}
