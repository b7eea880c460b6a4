package standin

import (
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// What the platform's store takes in one transaction, by its pages.
const (
	maxTransactionEntries = 100
	maxTransactionBytes   = 1 << 20
	maxNameBytes          = 200
	maxValueBytes         = 65_536
	fieldTable            = "table"
	fieldPart             = "part"
	fieldKey              = "privateKey"
	fieldValue            = "value"
	fieldRevision         = "ver"
	fieldConditions       = "expectedRevision"
	fieldPuts             = "put"
	fieldRemoves          = "remove"
	fieldAcrossParts      = "across"
)

// ErrInvalidRequest means that a call is not one that the pages describe.
var ErrInvalidRequest = errors.New("standin: refused")

// rawRow is a row as it stands in a call.
type rawRow map[string]json.RawMessage

// CheckTransaction refuses what the platform's store refuses: a table, key, version or value
// that is missing, too long or of another type, too many entries, and several parts without a
// word on that. It reads the text itself: a decoder that is generous, as the product's is,
// would take a number in quotes.
func CheckTransaction(body []byte) error {
	if len(body) > maxTransactionBytes {
		return errors.Wrapf(ErrInvalidRequest, "%d bytes", len(body))
	}
	var call map[string]json.RawMessage
	if err := json.Unmarshal(body, &call); err != nil {
		return errors.Mark(err, ErrInvalidRequest)
	}
	lists := map[string][]rawRow{fieldConditions: nil, fieldPuts: nil, fieldRemoves: nil}
	across := false
	for name, raw := range call {
		if name == fieldAcrossParts {
			if err := json.Unmarshal(raw, &across); err != nil {
				return errors.Mark(err, ErrInvalidRequest)
			}
			continue
		}
		if _, known := lists[name]; !known {
			return errors.Wrapf(ErrInvalidRequest, "unknown field %q", name)
		}
		var rows []rawRow
		if err := json.Unmarshal(raw, &rows); err != nil {
			return errors.Mark(err, ErrInvalidRequest)
		}
		lists[name] = rows
	}
	return checkLists(lists, across)
}

func checkLists(lists map[string][]rawRow, across bool) error {
	wanted := map[string][]string{
		fieldConditions: {fieldTable, fieldKey, fieldRevision}, fieldPuts: {fieldTable, fieldKey, fieldValue}, fieldRemoves: {fieldTable, fieldKey},
	}
	entries := 0
	parts := make(map[string]bool)
	for name, rows := range lists {
		entries += len(rows)
		for _, row := range rows {
			part, err := checkRow(row, wanted[name])
			if err != nil {
				return errors.Wrap(err, name)
			}
			parts[part] = true
		}
	}
	if entries > maxTransactionEntries || !across && len(parts) > 1 {
		return errors.Wrapf(ErrInvalidRequest, "%d entries in %d parts", entries, len(parts))
	}
	return nil
}

// checkRow refuses a row that lacks a field, or has one that it should not have, and returns
// its part.
func checkRow(row rawRow, wanted []string) (part string, err error) {
	for _, name := range wanted {
		if _, ok := row[name]; !ok {
			return "", errors.Wrapf(ErrInvalidRequest, "no %s", name)
		}
	}
	if raw, ok := row[fieldPart]; ok {
		if part, err = checkText(fieldPart, raw); err != nil {
			return "", err
		}
	}
	for name, raw := range row {
		switch name {
		case fieldTable, fieldKey:
			text, err := checkText(name, raw)
			if err != nil || text == "" {
				return "", errors.Wrapf(ErrInvalidRequest, "%s %s", name, raw)
			}
		case fieldPart:
		case fieldValue:
			if err := checkValue(raw); err != nil {
				return "", err
			}
		case fieldRevision:
			var revision uint64
			if err := json.Unmarshal(raw, &revision); err != nil {
				return "", errors.Wrapf(ErrInvalidRequest, "%s %s", name, raw)
			}
		default:
			return "", errors.Wrapf(ErrInvalidRequest, "unknown field %q", name)
		}
	}
	return part, nil
}

func checkText(name string, raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil || len(text) > maxNameBytes {
		return "", errors.Wrapf(ErrInvalidRequest, "%s of %d bytes", name, len(raw))
	}
	return text, nil
}

func checkValue(raw json.RawMessage) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Mark(err, ErrInvalidRequest)
	}
	value, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(value) > maxValueBytes {
		return errors.Wrapf(ErrInvalidRequest, "value of %d bytes", len(text))
	}
	return nil
}
