package resp

import (
	"bytes"
	"strconv"

	"shelfproxy/internal/upstream"
)

// The kinds of RESP2 values, by their first byte.
const (
	simpleString = '+'
	simpleError  = '-'
	integer      = ':'
	bulkString   = '$'
	array        = '*'
)

// Bounds of a response. A response that exceeds one is malformed, and no memory is allocated by the size that it announces. The
// caller sets the bound of a value.
const (
	maxItems              = 3   // items of an array
	maxHeaderLength       = 512 // bytes of a header line with text
	maxNumberHeaderLength = 16  // bytes of a header line with a number
)

var crlf = []byte("\r\n")

// reply is one RESP2 value. Its data is a slice of the buffer that it was parsed from.
type reply struct {
	kind   byte
	data   []byte
	isNull bool
	items  []reply // items of an array
}

// extent is what is known about the size of a value, in bytes from the start of the value.
type extent struct {
	consumed int // size of the complete value; 0 if more bytes are needed
	needed   int // lower bound for the size of the incomplete value; 0 if not known
}

// parseReply parses one value at the start of b. A string longer than maxBulk bytes and a nested array are malformed.
//
// redcon.ReadNextRESP is not used here: it does not tell a malformed value from an incomplete one, and a length near the largest
// integer makes it panic.
func parseReply(b []byte, isNested bool, maxBulk int) (reply, extent, error) {
	first, size, err := parseHeader(b)
	if err != nil || size == 0 {
		return reply{}, extent{}, err
	}
	switch first.kind {
	case bulkString:
		return parseBulkString(b, first, size, maxBulk)
	case array:
		if isNested {
			return reply{}, extent{}, upstream.ErrMalformedResponse
		}
		return parseArray(b, first, size, maxBulk)
	}
	return first, extent{consumed: size}, nil
}

// parseHeader parses the first line of a value, which has the kind of the value and its text, length or count. It returns the
// size of the line in bytes; 0 if the line is incomplete.
func parseHeader(b []byte) (reply, int, error) {
	header := b[:min(len(b), maxHeaderLength)]
	if len(b) > 0 && (b[0] == bulkString || b[0] == array || b[0] == integer) {
		header = b[:min(len(b), maxNumberHeaderLength)]
	}
	newline := bytes.IndexByte(header, '\n')
	if newline < 0 {
		// A header that can't become valid is rejected at once, as the rest of it may never come.
		isTooLong := len(header) < len(b) || len(header) == maxHeaderLength
		if isTooLong || len(b) > 0 && !isValidHeaderStart(header) {
			return reply{}, 0, upstream.ErrMalformedResponse
		}
		return reply{}, 0, nil
	}
	if newline < 2 || b[newline-1] != '\r' || !isValidHeaderStart(header[:newline]) {
		return reply{}, 0, upstream.ErrMalformedResponse
	}
	return reply{kind: b[0], data: b[1 : newline-1]}, newline + 1, nil
}

// isValidHeaderStart reports whether a valid header can start with these bytes: its kind, and printable text or a number. A
// carriage return is valid at the end only.
func isValidHeaderStart(header []byte) bool {
	text := bytes.TrimSuffix(header[1:], []byte{'\r'})
	switch header[0] {
	case simpleString, simpleError:
		return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' })
	case bulkString, array, integer:
		return !bytes.ContainsFunc(text, func(r rune) bool { return r != '-' && (r < '0' || r > '9') })
	}
	return false
}

// parseCount parses the length or the count in a header; -1 stands for null.
func parseCount(header reply, maxCount int) (int, error) {
	count, err := strconv.Atoi(string(header.data))
	if err != nil || count < -1 || count > maxCount {
		return 0, upstream.ErrMalformedResponse
	}
	return count, nil
}

// parseBulkString parses a bulk string, whose header line has headerSize bytes.
func parseBulkString(b []byte, header reply, headerSize, maxBulk int) (reply, extent, error) {
	length, err := parseCount(header, maxBulk)
	if err != nil {
		return reply{}, extent{}, err
	}
	if length < 0 {
		return reply{kind: bulkString, isNull: true}, extent{consumed: headerSize}, nil
	}
	end := headerSize + length
	size := end + len(crlf)
	if len(b) < size {
		return reply{}, extent{needed: size}, nil
	}
	if !bytes.Equal(b[end:size], crlf) {
		return reply{}, extent{}, upstream.ErrMalformedResponse
	}
	return reply{kind: bulkString, data: b[headerSize:end:end]}, extent{consumed: size}, nil
}

// parseArray parses an array, whose header line has headerSize bytes.
func parseArray(b []byte, header reply, headerSize, maxBulk int) (reply, extent, error) {
	count, err := parseCount(header, maxItems)
	if err != nil {
		return reply{}, extent{}, err
	}
	if count < 0 {
		return reply{kind: array, isNull: true}, extent{consumed: headerSize}, nil
	}
	value, consumed := reply{kind: array}, headerSize
	for range count {
		item, size, err := parseReply(b[consumed:], true, maxBulk)
		if err != nil {
			return reply{}, extent{}, err
		}
		if size.consumed == 0 {
			if size.needed > 0 {
				size.needed += consumed
			}
			return reply{}, size, nil
		}
		value.items = append(value.items, item)
		consumed += size.consumed
	}
	return value, extent{consumed: consumed}, nil
}

// valueExtent returns the size of the header lines ahead of the value in a response that begins at b, and the size of the value.
// They are 0 if b does not have both headers.
func valueExtent(b []byte) (headerSize, valueSize int) {
	first, arrayHeaderSize, err := parseHeader(b)
	if err != nil || arrayHeaderSize == 0 || first.kind != array {
		return 0, 0
	}
	value, valueHeaderSize, err := parseHeader(b[arrayHeaderSize:])
	if err != nil || valueHeaderSize == 0 || value.kind != bulkString {
		return 0, 0
	}
	valueSize, err = strconv.Atoi(string(value.data))
	if err != nil || valueSize < 0 {
		return 0, 0
	}
	return arrayHeaderSize + valueHeaderSize, valueSize
}
