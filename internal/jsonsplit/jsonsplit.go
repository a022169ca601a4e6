// Package jsonsplit finds parts of a JSON text without building a tree of the whole text. A tree takes about thirty times the
// memory of its text. This matters if a process with a memory limit of 32 MB reads a text with thousands of entries.
//
// The package only tracks strings and brackets. The caller still has to parse the parts, which finds any invalid JSON in them.
package jsonsplit

// Member returns the position of the value of an object's member: object[start:end]. ok is false if the object cannot be split
// safely: if it has no such member or several, if the name of a member has an escape, or if the structure is not that of an
// object.
func Member(object []byte, name string) (start, end int, ok bool) {
	position := skipSpace(object, 0)
	if !isAt(object, position, '{') {
		return 0, 0, false
	}
	position = skipSpace(object, position+1)
	for !isAt(object, position, '}') {
		member, next, isMember := splitMember(object, position)
		isFirst := end == 0
		isWanted := isMember && string(member.name) == name
		if !isMember || isWanted && !isFirst {
			return 0, 0, false
		}
		if isWanted {
			start, end = member.start, member.end
		}
		position = next
	}
	isComplete := skipSpace(object, position+1) == len(object)
	return start, end, end > 0 && isComplete
}

// member is a member of an object: its name, and the start and end of its value.
type member struct {
	name       []byte
	start, end int
}

// splitMember reads the member at a position. next is the position of the next member or of the end of the object.
func splitMember(object []byte, position int) (found member, next int, ok bool) {
	nameEnd := skipString(object, position)
	if nameEnd < 0 {
		return found, 0, false
	}
	found.name = object[position+1 : nameEnd-1]
	for _, char := range found.name {
		if char == '\\' {
			return found, 0, false
		}
	}
	position = skipSpace(object, nameEnd)
	if !isAt(object, position, ':') {
		return found, 0, false
	}
	found.start = skipSpace(object, position+1)
	found.end = skipValue(object, found.start)
	if found.end < 0 {
		return found, 0, false
	}
	next, ok = skipSeparator(object, found.end, '}')
	return found, next, ok
}

// Objects calls visit with each element of an array. If visit returns an error, Objects stops and returns that error. ok is false
// if an element is not an object, or if the structure is not that of an array; visit may have been called before this is found.
func Objects(array []byte, visit func(object []byte) error) (ok bool, err error) {
	position := skipSpace(array, 0)
	if !isAt(array, position, '[') {
		return false, nil
	}
	position = skipSpace(array, position+1)
	for !isAt(array, position, ']') {
		if !isAt(array, position, '{') {
			return false, nil
		}
		end := skipValue(array, position)
		if end < 0 {
			return false, nil
		}
		if err := visit(array[position:end]); err != nil {
			return true, err
		}
		if position, ok = skipSeparator(array, end, ']'); !ok {
			return false, nil
		}
	}
	return skipSpace(array, position+1) == len(array), nil
}

// skipSeparator returns the position of the next item, after the comma that ends the item before, or the position of the closing
// bracket.
func skipSeparator(text []byte, position int, closing byte) (next int, ok bool) {
	position = skipSpace(text, position)
	if isAt(text, position, closing) {
		return position, true
	}
	if !isAt(text, position, ',') {
		return 0, false
	}
	next = skipSpace(text, position+1)
	return next, !isAt(text, next, closing) // a comma after the last item is invalid JSON
}

func isAt(text []byte, position int, char byte) bool {
	return position < len(text) && text[position] == char
}

func skipSpace(text []byte, position int) int {
	for position < len(text) {
		switch text[position] {
		case ' ', '\t', '\r', '\n':
			position++
		default:
			return position
		}
	}
	return position
}

// skipString returns the position after the string that begins at position, or a negative number if there is no complete string.
func skipString(text []byte, position int) int {
	if !isAt(text, position, '"') {
		return -1
	}
	for position++; position < len(text); position++ {
		switch text[position] {
		case '\\':
			position++
		case '"':
			return position + 1
		}
	}
	return -1
}

// skipValue returns the position after the value that begins at position, or a negative number if there is no complete value.
func skipValue(text []byte, position int) int {
	switch {
	case isAt(text, position, '"'):
		return skipString(text, position)
	case isAt(text, position, '{') || isAt(text, position, '['):
		return skipBrackets(text, position)
	}
	start := position
	for position < len(text) && !isDelimiter(text[position]) {
		position++
	}
	if position == start {
		return -1
	}
	return position
}

// isDelimiter reports whether a character ends a number or one of the words true, false and null.
func isDelimiter(char byte) bool {
	switch char {
	case ',', ']', '}', ':', '"', '{', '[', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}

// skipBrackets returns the position after the bracket that closes the one at position, or a negative number if there is none.
func skipBrackets(text []byte, position int) int {
	depth := 0
	for position < len(text) {
		switch text[position] {
		case '"':
			if position = skipString(text, position); position < 0 {
				return -1
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return position + 1
			}
		}
		position++
	}
	return -1
}
