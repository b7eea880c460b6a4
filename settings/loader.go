package settings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// ErrSettings is wrapped by every error of Load.
var ErrSettings = errors.New("settings")

// loader reads one file and collects all its faults.
type loader struct {
	set    *Set
	path   string
	lines  []string
	faults []string
}

// checkUnknown adds a fault for each section and key that the set does not contain, and fills the
// sections declared with Map.
func (l *loader) checkUnknown(file *ini.File) {
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			l.checkOutsideSections(section)
			continue
		}
		if !l.set.hasSection(name) {
			l.addFault(name, "", "there is no such section; remove it or correct its name")
			continue
		}
		l.checkUnknownKeys(section)
	}
}

func (l *loader) checkOutsideSections(section *ini.Section) {
	for _, key := range section.Keys() {
		l.addFault("", key.Name(), "stands before the first section; move it into one")
	}
}

func (l *loader) checkUnknownKeys(section *ini.Section) {
	values, isMap := l.set.maps[section.Name()]
	for _, key := range section.Keys() {
		if isMap {
			values[key.Name()] = key.String()
			continue
		}
		if l.set.findField(section.Name(), key.Name()) == nil {
			l.addFault(section.Name(), key.Name(), "there is no such key; remove it or correct its name")
		}
	}
}

// field reads the value of one setting.
func (l *loader) field(file *ini.File, f *field) {
	f.value, f.origin = f.fallback, "default"
	if section, err := file.GetSection(f.section); err == nil && section.HasKey(f.key) {
		f.value, f.origin = section.Key(f.key).String(), "file"
	}
	if f.value == "" && f.required {
		l.addFault(f.section, f.key, "is missing; add it")
		return
	}
	if f.value == "" && f.origin == "default" {
		return
	}
	if err := f.set(f.value); err != nil {
		l.addFault(f.section, f.key, err.Error())
	}
}

func (l *loader) addFault(section, key, remedy string) {
	where := "[" + section + "]"
	if key != "" {
		where += " " + key
	}
	l.faults = append(l.faults, errors.Newf("%s line %d: %s: %s", l.path, l.line(section, key), where, remedy).Error())
}

// line returns the line number of a key, or of its section if the key is not found, counting from
// 1. If the section is missing too, it returns the number of the last line. The INI library does
// not provide line numbers.
func (l *loader) line(section, key string) int {
	current, found := "", len(l.lines)
	for i, text := range l.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			current = strings.Trim(text, "[]")
			if current == section {
				found = i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(text, "=")
		if current == section && key != "" && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return found
}

func (l *loader) result() error {
	if len(l.faults) == 0 {
		return nil
	}
	return errors.Wrap(ErrSettings, strings.Join(l.faults, "\n"))
}
