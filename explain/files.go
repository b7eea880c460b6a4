package explain

import (
	"fmt"
	"io"
	"os"
)

// PrintRequest prints all that bears on a request, from log files. Each holds all lines
// of one node, or of several.
func PrintRequest(out io.Writer, id string, paths []string) error {
	var all []Line
	for _, path := range paths {
		lines, err := readFile(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	found, err := RequestLines(id, all)
	if err != nil {
		return err
	}
	for _, line := range found {
		if _, err := fmt.Fprintln(out, line.Text); err != nil {
			return err
		}
	}
	return nil
}

func readFile(path string) ([]Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}
