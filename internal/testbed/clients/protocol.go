package clients

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/respcmd"
	"shelfproxy/internal/testbed/scenario"
)

// maxValueSize is the maximum size of the value in an answer, in bytes.
const maxValueSize = 1 << 20

// command encodes a request as a RESP2 command for a node.
func (r request) command(class scenario.Class) []byte {
	extras := fmt.Sprintf("c=%s,d=%d", class.Name, class.Deadline.D().Milliseconds())
	if r.IdempotencyKey != "" {
		extras += ",k=" + r.IdempotencyKey
	}
	if class.Write {
		return respcmd.Append(nil, "CACHE.SET", r.Key, r.id, extras, strings.Repeat("v", r.Size))
	}
	return respcmd.Append(nil, "CACHE.GET", r.Key, r.id, extras)
}

// answer is a node's final answer to a request.
type answer struct {
	kind  invariants.Final
	value []byte // value of a served request
}

// readAnswer reads one answer. A nil value counts as a failed request, and so does any line that does not begin a value, an array
// or -BUSY.
func readAnswer(reader *bufio.Reader) (answer, error) {
	header, err := reader.ReadString('\n')
	if err != nil {
		return answer{}, err
	}
	header = strings.TrimSuffix(header, "\r\n")
	switch {
	case strings.HasPrefix(header, "*"):
		return readArray(reader, header[1:])
	case header == "$-1":
		return answer{kind: invariants.Failed}, nil
	case strings.HasPrefix(header, "$"):
		return readValue(reader, header[1:])
	case strings.HasPrefix(header, "-BUSY"):
		return answer{kind: invariants.Rejected}, nil
	}
	return answer{kind: invariants.Failed}, nil
}

// readArray reads the elements of an array and returns the first element, which is the answer.
func readArray(reader *bufio.Reader, length string) (answer, error) {
	elements, err := strconv.Atoi(length)
	if err != nil || elements < 1 {
		return answer{kind: invariants.Failed}, err
	}
	first, err := readAnswer(reader)
	for range elements - 1 {
		if err == nil {
			_, err = readAnswer(reader)
		}
	}
	return first, err
}

// readValue reads the bytes of a bulk string and the line end after them.
func readValue(reader *bufio.Reader, length string) (answer, error) {
	size, err := strconv.Atoi(length)
	if err != nil || size < 0 || size > maxValueSize {
		return answer{}, fmt.Errorf("answer with the invalid length %q", length)
	}
	value := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(reader, value); err != nil {
		return answer{}, err
	}
	return answer{kind: invariants.Served, value: value[:size]}, nil
}
