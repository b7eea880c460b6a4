package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Text writes the report as a text table.
func (r *Report) Text(w io.Writer) error {
	if r.Missing > 0 {
		if _, err := fmt.Fprintf(w, "%d nodes could not be read; their requests are not counted\n", r.Missing); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "ROUTE\tACCOUNT\tBURN 5M\tBURN 1H\tBUDGET LEFT\tREQUESTS 1H\tMISSED 1H\n")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.0f%%\t%d\t%d\n", row.Route, row.Account,
			row.ShortRate, row.LongRate, row.Left*100, row.Long.Total, row.Long.Total-row.Long.Good)
	}
	return t.Flush()
}
