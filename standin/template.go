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

// Fields are what a template is filled from: texts, numbers, lists of texts and other Fields.
type Fields map[string]any

var gap = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// Fill fills the gaps of a template, which name fields: {{a}}, {{a.b}}, and {{a.0}} for an entry of
// a list. A whole list is joined with commas. Unlike the platform, which leaves a gap empty
// whose field it does not have, it refuses such a template.
func Fill(template string, fields Fields) (string, error) {
	var unknown []string
	text := gap.ReplaceAllStringFunc(template, func(found string) string {
		path := strings.Trim(found, "{}")
		value, ok := look(fields, strings.Split(path, "."))
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

func look(value any, path []string) (string, bool) {
	if len(path) == 0 {
		switch v := value.(type) {
		case []string:
			return strings.Join(v, ","), true
		case Fields:
			return "", false
		}
		return fmt.Sprint(value), true
	}
	switch v := value.(type) {
	case Fields:
		next, ok := v[path[0]]
		if !ok {
			return "", false
		}
		return look(next, path[1:])
	case []string:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(v) {
			return "", false
		}
		return look(v[i], path[1:])
	}
	return "", false
}
