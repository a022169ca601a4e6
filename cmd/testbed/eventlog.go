package main

import (
	"fmt"
	"io"
	"os"
)

// openTrace creates the file of --trace. The returned function trace writes an entry of the event log to the file; trace is nil
// if the path is empty. The returned function closeTrace closes the file.
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

// writeEntries returns a function that writes each entry of the event log immediately. It ignores errors, so that a log that
// cannot be written does not end the run.
func writeEntries(out io.Writer) func([]byte) {
	return func(entry []byte) { _, _ = out.Write(entry) }
}
