package config

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/wire"
)

// Apply returns the configuration that a change record makes of c. It leaves
// c as it is. The record must be for the version after c's.
func Apply(c *wire.Config, record *wire.ChangeRecord) (*wire.Config, error) {
	if record.GetVersion() != c.GetVersion()+1 {
		return nil, errors.Wrapf(ErrOutOfOrder, "record %d on version %d", record.GetVersion(), c.GetVersion())
	}
	next := &wire.Config{
		Version:   record.GetVersion(),
		Routes:    slices.Clone(c.GetRoutes()),
		Pipelines: slices.Clone(c.GetPipelines()),
		Accounts:  slices.Clone(c.GetAccounts()),
	}
	for _, change := range record.GetChanges() {
		if err := applyChange(next, change); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func applyChange(c *wire.Config, change *wire.Change) error {
	var err error
	switch e := change.GetEdit().(type) {
	case *wire.Change_PutRoute:
		c.Routes = put(c.Routes, e.PutRoute)
	case *wire.Change_PutPipeline:
		c.Pipelines = put(c.Pipelines, e.PutPipeline)
	case *wire.Change_PutAccount:
		c.Accounts = put(c.Accounts, e.PutAccount)
	case *wire.Change_DeleteRoute:
		c.Routes, err = remove(c.Routes, "route", e.DeleteRoute)
	case *wire.Change_DeletePipeline:
		c.Pipelines, err = remove(c.Pipelines, "pipeline", e.DeletePipeline)
	case *wire.Change_DeleteAccount:
		c.Accounts, err = remove(c.Accounts, "client account", e.DeleteAccount)
	default:
		err = errors.Wrap(ErrInvalid, "a change is empty")
	}
	return err
}

// namedItem is what all items of a configuration have in common.
type namedItem interface {
	proto.Message
	GetName() string
}

func find[T namedItem](items []T, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(item T, name string) int {
		return strings.Compare(item.GetName(), name)
	})
}

// put adds an item or replaces the one of the same name. Items stay sorted by
// name.
func put[T namedItem](items []T, item T) []T {
	at, found := find(items, item.GetName())
	if found {
		items[at] = item
		return items
	}
	return slices.Insert(items, at, item)
}

func remove[T namedItem](items []T, what, name string) ([]T, error) {
	at, found := find(items, name)
	if !found {
		return nil, errors.Wrapf(ErrInvalid, "no %s %q to delete", what, name)
	}
	return slices.Delete(items, at, at+1), nil
}
