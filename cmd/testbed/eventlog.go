package main

import (
	"fmt"
	"io"
	"os"
)

// openTrace creates the file of --trace and returns the function that writes an entry of the event log to it; nil where the
// path is empty. closeTrace closes the file.
func openTrace(path string) (trace func([]byte), closeTrace func(), err error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, fmt.Errorf("--trace: %w", err)
	}
	return writeEntries(file), func() { _ = file.Close() }, nil
}

// writeEntries writes each entry as it comes. A log that cannot be written does not end the run.
func writeEntries(out io.Writer) func([]byte) {
	return func(entry []byte) { _, _ = out.Write(entry) }
}
