// Package settings reads a process's INI file and checks it strictly: an
// unknown section or key, a wrong type, a missing value or a missing file is
// an error that names the section, the key, the line and the remedy.
//
//	s := settings.NewSet()
//	s.Address("caller", "listen", &listen, settings.WithDefault("127.0.0.1:0"))
//	err := s.Load("node.ini")
package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Set is the settings that a process knows.
type Set struct {
	fields []*field
	maps   map[string]map[string]string
}

// NewSet returns a set that knows no settings.
func NewSet() *Set { return &Set{maps: make(map[string]map[string]string)} }

// Map declares a section whose keys are free, such as the operators' names.
func (s *Set) Map(section string, into map[string]string) { s.maps[section] = into }

// Load reads a file into the variables that were declared. Defaults stand for
// what the file leaves out. Errors wrap ErrSettings; all of them are given at
// once.
func (s *Set) Load(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(ErrSettings, "cannot read %s: give the path of a settings file", path)
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return errors.Wrapf(ErrSettings, "%s is not INI: %v", path, err)
	}
	l := &loader{set: s, path: path, lines: strings.Split(string(text), "\n")}
	l.checkUnknown(file)
	for _, f := range s.fields {
		l.field(file, f)
	}
	return l.result()
}

// Print writes the settings in force, one a line, and where each came from.
func (s *Set) Print(w io.Writer) error {
	for _, f := range s.fields {
		if _, err := fmt.Fprintf(w, "%s.%s = %s  (%s)\n", f.section, f.key, f.displayValue(), f.origin); err != nil {
			return err
		}
	}
	for _, section := range sortedKeys(s.maps) {
		for _, key := range sortedKeys(s.maps[section]) {
			if _, err := fmt.Fprintf(w, "%s.%s = (set)  (file)\n", section, key); err != nil {
				return err
			}
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (s *Set) findField(section, key string) *field {
	for _, f := range s.fields {
		if f.section == section && f.key == key {
			return f
		}
	}
	return nil
}

func (s *Set) hasSection(section string) bool {
	_, free := s.maps[section]
	return free || slices.ContainsFunc(s.fields, func(f *field) bool { return f.section == section })
}
