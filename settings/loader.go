package settings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// ErrSettings is what every error of Load wraps.
var ErrSettings = errors.New("settings")

// loader reads one file and gathers all that is wrong with it.
type loader struct {
	set    *Set
	path   string
	lines  []string
	faults []string
}

// checkUnknown notes sections and keys that the set does not know.
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
	free, isFree := l.set.maps[section.Name()]
	for _, key := range section.Keys() {
		if isFree {
			free[key.Name()] = key.String()
			continue
		}
		if l.set.findField(section.Name(), key.Name()) == nil {
			l.addFault(section.Name(), key.Name(), "there is no such key; remove it or correct its name")
		}
	}
}

// field reads one setting.
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

// line finds where a section's key stands, or the section, counting from 1.
// The library does not keep the place. A missing section gives the last line.
func (l *loader) line(section, key string) int {
	current, at := "", len(l.lines)
	for i, text := range l.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			current = strings.Trim(text, "[]")
			if current == section {
				at = i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(text, "=")
		if current == section && key != "" && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return at
}

func (l *loader) result() error {
	if len(l.faults) == 0 {
		return nil
	}
	return errors.Wrap(ErrSettings, strings.Join(l.faults, "\n"))
}
