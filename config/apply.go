package config

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hoistjunction/hoistjunction/wire"
)

// Apply returns a new configuration with the change record applied to c, and does
// not modify c. The record must have the version that follows the version of c.
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

// namedItem is the interface of all configuration items: routes, pipelines and
// client accounts.
type namedItem interface {
	proto.Message
	GetName() string
}

// find returns the index of the item with the given name, or the index at which
// to insert it, and whether it exists.
func find[T namedItem](items []T, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(item T, name string) int {
		return strings.Compare(item.GetName(), name)
	})
}

// put adds an item or replaces the one with the same name. The items stay sorted
// by name.
func put[T namedItem](items []T, item T) []T {
	index, found := find(items, item.GetName())
	if found {
		items[index] = item
		return items
	}
	return slices.Insert(items, index, item)
}

// remove deletes the item with the given name. An unknown name is an error.
func remove[T namedItem](items []T, kind, name string) ([]T, error) {
	index, found := find(items, name)
	if !found {
		return nil, errors.Wrapf(ErrInvalid, "no %s %q to delete", kind, name)
	}
	return slices.Delete(items, index, index+1), nil
}
