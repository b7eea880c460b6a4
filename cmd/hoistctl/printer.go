package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printer writes results as tables or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

// show writes m as JSON, or header and rows as a table.
func (p *printer) show(m proto.Message, header string, rows [][]string) error {
	if p.json {
		_, err := fmt.Fprintln(p.w, protojson.Format(m))
		return err
	}
	lines := []string{strings.ReplaceAll(header, " ", "\t")}
	for _, row := range rows {
		lines = append(lines, strings.Join(row, "\t"))
	}
	return writeRows(p.w, lines)
}

// writeRows writes rows of cells that are separated by tabs, in columns.
func writeRows(out io.Writer, rows []string) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(t, row); err != nil {
			return err
		}
	}
	return t.Flush()
}

// cells formats values as the cells of a table row.
func cells(values ...any) []string {
	row := make([]string, 0, len(values))
	for _, v := range values {
		row = append(row, fmt.Sprint(v))
	}
	return row
}
