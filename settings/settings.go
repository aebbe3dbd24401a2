// Package settings reads a program's settings from an INI file, the environment and the command line, and validates
// all of them before the program starts.
//
// A setting has a name of the form section.key. It is set by the flag -section.key on the command line, by the
// variable HOLLYFORK_SECTION_KEY in the environment, or by key under [section] in the file. The command line takes
// precedence over the environment, and the environment over the file.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"
)

const (
	envPrefix  = "HOLLYFORK"
	configFlag = "config"
	checkFlag  = "check"
)

// ErrHelp means that help was requested and has been printed.
var ErrHelp = flag.ErrHelp

// Error lists all faults of the settings. It is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Problems has an entry for each invalid setting.
	Problems []Problem
}

// Problem describes the fault of one setting.
type Problem struct {
	Section string
	Key     string
	Reason  string
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// String formats a problem as a line of text for operators.
func (p Problem) String() string {
	if p.Section == "" {
		return p.Key + ": " + p.Reason
	}
	return "[" + p.Section + "] " + p.Key + ": " + p.Reason
}

// Set is a program's set of settings. Create it with New, add settings with Add, then call Parse.
type Set struct {
	flags     *flag.FlagSet
	settings  []*setting
	checkOnly bool
	config    string
	// unknown has an entry for each setting in the file that does not exist.
	unknown []Problem
}

// setting implements flag.Value. Set accepts any text; the texts of all settings are parsed together by applyAll, so
// that all faults are reported at once.
type setting struct {
	name  string
	text  string
	apply func(text string) error
}

// String implements flag.Value.
func (v *setting) String() string { return v.text }

// Set implements flag.Value.
func (v *setting) Set(text string) error {
	v.text = text
	return nil
}

// New returns an empty set of settings for a program. Help is written to help.
func New(program string, help io.Writer) *Set {
	s := &Set{flags: flag.NewFlagSet(program, flag.ContinueOnError)}
	s.flags.SetOutput(help)
	s.flags.StringVar(&s.config, configFlag, "", "INI file with settings")
	s.flags.BoolVar(&s.checkOnly, checkFlag, false, "check the settings and exit")
	return s
}

// Add adds a setting with a default and a parser. Parse stores the setting's value at the returned pointer.
func Add[T any](s *Set, name, defaultText, usage string, parse func(string) (T, error)) *T {
	result := new(T)
	v := &setting{name: name, text: defaultText}
	v.apply = func(text string) error {
		parsed, err := parse(text)
		if err == nil {
			*result = parsed
		}
		return err
	}
	s.settings = append(s.settings, v)
	s.flags.Var(v, name, usage)
	return result
}

// AddBool adds a switch that is false by default. Parse stores its value at the returned pointer.
func AddBool(s *Set, name, usage string) *bool {
	return s.flags.Bool(name, false, usage)
}

// CheckOnly reports whether the program should check its settings and exit.
func (s *Set) CheckOnly() bool {
	return s.checkOnly
}

// Parse reads and validates all settings. The error lists all invalid ones.
func (s *Set) Parse(args []string) error {
	err := ff.Parse(s.flags, args,
		ff.WithConfigFileFlag(configFlag),
		ff.WithConfigFileParser(s.readINI),
		ff.WithEnvVarPrefix(envPrefix),
	)
	if errors.Is(err, flag.ErrHelp) {
		return ErrHelp
	}
	if err != nil {
		return &Error{Op: "parse", Problems: []Problem{{Key: s.flags.Name(), Reason: err.Error()}}}
	}
	if rest := s.flags.Args(); len(rest) > 0 {
		return &Error{Op: "parse", Problems: []Problem{{Key: s.flags.Name(), Reason: fmt.Sprintf("unexpected argument %q", rest[0])}}}
	}
	return s.applyAll()
}

func (s *Set) applyAll() error {
	problems := s.unknown
	for _, v := range s.settings {
		if err := v.apply(v.text); err != nil {
			section, key := split(v.name)
			problems = append(problems, Problem{Section: section, Key: key, Reason: err.Error()})
		}
	}
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Section < problems[j].Section })
	return &Error{Op: "check", Problems: problems}
}

func split(name string) (section, key string) {
	section, key, ok := strings.Cut(name, ".")
	if !ok {
		return "", name
	}
	return section, key
}

// readINI implements ff.ConfigFileParser.
func (s *Set) readINI(r io.Reader, set func(name, value string) error) error {
	content, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	file, err := ini.Load(content)
	if err != nil {
		return err
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if err := s.setFromFile(section.Name(), key, set); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Set) setFromFile(section string, key *ini.Key, set func(name, value string) error) error {
	name := section + "." + key.Name()
	if section == ini.DefaultSection {
		name = key.Name()
		section = ""
	}
	if s.flags.Lookup(name) == nil {
		s.unknown = append(s.unknown, Problem{Section: section, Key: key.Name(), Reason: "no such setting"})
		return nil
	}
	return set(name, key.Value())
}
