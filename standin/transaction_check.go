package standin

import (
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Limits and field names of a transaction in the API of the platform's store.
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

// ErrInvalidRequest means that a request does not conform to the platform's API.
var ErrInvalidRequest = errors.New("standin: refused")

// rawRow is a row of a request whose fields are not decoded yet.
type rawRow map[string]json.RawMessage

// CheckTransaction returns ErrInvalidRequest for a transaction that the
// platform's store rejects: a table, key, version or value is missing, too long or
// of the wrong type, it has too many entries, or it has several partitions
// without the field that allows this. It decodes the body without protojson,
// which would accept a number in quotes.
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

// checkLists checks the rows of a transaction's lists, the number of entries and
// the number of partitions.
func checkLists(lists map[string][]rawRow, across bool) error {
	required := map[string][]string{
		fieldConditions: {fieldTable, fieldKey, fieldRevision}, fieldPuts: {fieldTable, fieldKey, fieldValue}, fieldRemoves: {fieldTable, fieldKey},
	}
	entries := 0
	partitions := make(map[string]bool)
	for name, rows := range lists {
		entries += len(rows)
		for _, row := range rows {
			partition, err := checkRow(row, required[name])
			if err != nil {
				return errors.Wrap(err, name)
			}
			partitions[partition] = true
		}
	}
	if entries > maxTransactionEntries || !across && len(partitions) > 1 {
		return errors.Wrapf(ErrInvalidRequest, "%d entries in %d parts", entries, len(partitions))
	}
	return nil
}

// checkRow returns the partition of a row, or an error if a required field is
// missing or a field is unknown or invalid.
func checkRow(row rawRow, required []string) (partition string, err error) {
	for _, name := range required {
		if _, ok := row[name]; !ok {
			return "", errors.Wrapf(ErrInvalidRequest, "no %s", name)
		}
	}
	if raw, ok := row[fieldPart]; ok {
		if partition, err = checkText(fieldPart, raw); err != nil {
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
	return partition, nil
}

// checkText decodes a text field and checks its length.
func checkText(name string, raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil || len(text) > maxNameBytes {
		return "", errors.Wrapf(ErrInvalidRequest, "%s of %d bytes", name, len(raw))
	}
	return text, nil
}

// checkValue checks that a value is valid base64 and not too long.
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
