package standin

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrTemplate means that a template refers to a field that does not exist or
// has no text value.
var ErrTemplate = errors.New("standin: invalid template")

// TemplateFields holds the values of a template's placeholders by field name. A
// value is a string, a number, a bool, a list of strings or other
// TemplateFields.
type TemplateFields map[string]any

var placeholderPattern = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// FillTemplate replaces the placeholders of a template by the values of fields:
// {{a}}, {{a.b}} for a nested field and {{a.0}} for an element of a list. A whole
// list is joined with commas. FillTemplate returns ErrTemplate for an unknown
// field, whereas the platform replaces its placeholder by an empty text.
func FillTemplate(template string, fields TemplateFields) (string, error) {
	var unknown []string
	text := placeholderPattern.ReplaceAllStringFunc(template, func(match string) string {
		path := strings.Trim(match, "{}")
		value, ok := lookUpField(fields, strings.Split(path, "."))
		if !ok {
			unknown = append(unknown, path)
		}
		return value
	})
	if len(unknown) > 0 {
		return "", errors.Wrapf(ErrTemplate, "unknown fields: %s", strings.Join(unknown, ", "))
	}
	return text, nil
}

// lookUpField returns the text of the value at a path, and whether it exists.
func lookUpField(value any, path []string) (string, bool) {
	if len(path) == 0 {
		switch v := value.(type) {
		case []string:
			return strings.Join(v, ","), true
		case TemplateFields:
			return "", false
		}
		return fmt.Sprint(value), true
	}
	switch v := value.(type) {
	case TemplateFields:
		next, ok := v[path[0]]
		if !ok {
			return "", false
		}
		return lookUpField(next, path[1:])
	case []string:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(v) {
			return "", false
		}
		return lookUpField(v[i], path[1:])
	}
	return "", false
}
