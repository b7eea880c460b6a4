package standin

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrTemplate means that a template asks for a field that there is not.
var ErrTemplate = errors.New("standin: the template is not valid")

// TemplateFields are what a template is filled from: texts, numbers, lists of texts and other Fields.
type TemplateFields map[string]any

var placeholderPattern = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// FillTemplate fills the gaps of a template, which name fields: {{a}}, {{a.b}}, and {{a.0}} for an entry of
// a list. A whole list is joined with commas. Unlike the platform, which leaves a gap empty
// whose field it does not have, it refuses such a template.
func FillTemplate(template string, fields TemplateFields) (string, error) {
	var unknown []string
	text := placeholderPattern.ReplaceAllStringFunc(template, func(found string) string {
		path := strings.Trim(found, "{}")
		value, ok := lookUpField(fields, strings.Split(path, "."))
		if !ok {
			unknown = append(unknown, path)
		}
		return value
	})
	if len(unknown) > 0 {
		return "", errors.Wrapf(ErrTemplate, "there is no field %s", strings.Join(unknown, ", "))
	}
	return text, nil
}

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
