package discovery

// maxListBytes bounds the part of a list that is buffered while the end of the list has not been received.
const maxListBytes = 4 << 20

// objectScanner splits a byte stream into JSON objects with white space between them. An object may take several lines. Within an
// object, a line of white space only, or the end of a line inside a string, shows that the object was truncated.
//
// objectScanner only tracks brackets and strings. The parser finds out whether an object is valid JSON.
type objectScanner struct {
	object   []byte // received part of the current object
	depth    int    // number of open brackets; 0 between objects
	inString bool
	escaped  bool // the next byte of the string is escaped
	hasText  bool // the current line has bytes other than white space
}

// scanResult is what one call of objectScanner.next found.
type scanResult struct {
	object     []byte // a complete object, valid until the next call; nil if none was completed
	rest       []byte // bytes after the object that have not been scanned yet
	progressed bool   // a line or an object was completed
}

// next scans data up to the end of the next object. After an error the scanner must not be used any more.
func (s *objectScanner) next(data []byte) (scanResult, error) {
	if s.depth == 0 {
		s.object = s.object[:0]
	}
	var result scanResult
	start := 0 // index in data of the first byte of the current object, or 0 if an earlier call read the object's first byte
	for i, char := range data {
		if char == '\n' {
			result.progressed = true
		}
		if err := s.checkTruncation(char); err != nil {
			return result, err
		}
		switch {
		case s.depth > 0:
			if s.readInObject(char); s.depth > 0 {
				continue
			}
			s.object = append(s.object, data[start:i+1]...)
			return scanResult{object: s.object, rest: data[i+1:], progressed: true}, nil
		case char == '{':
			s.depth, start = 1, i
		case !isSpace(char):
			return result, errNoObject
		}
	}
	if s.depth == 0 {
		return result, nil
	}
	s.object = append(s.object, data[start:]...)
	if len(s.object) > maxListBytes {
		return result, errTooLong
	}
	return result, nil
}

// checkTruncation tracks the lines of the stream. It returns an error if char shows that the current object was truncated.
func (s *objectScanner) checkTruncation(char byte) error {
	if char != '\n' {
		s.hasText = s.hasText || !isSpace(char)
		return nil
	}
	if s.depth > 0 && (s.inString || !s.hasText) {
		return errTruncated
	}
	s.hasText = false
	return nil
}

// readInObject tracks the strings and brackets within an object.
func (s *objectScanner) readInObject(char byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped, s.inString = char == '\\', char != '"'
	case char == '"':
		s.inString = true
	case char == '{' || char == '[':
		s.depth++
	case char == '}' || char == ']':
		s.depth--
	}
}

func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\r' || char == '\n' }
