package tomlfile

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexer records the line of each key of a TOML text by the dotted name of the key. Elements of arrays are numbered
// from 0.
type indexer struct {
	parser unstable.Parser
	lines  map[string]int
	table  string         // dotted name of the table to which the current keys belong
	counts map[string]int // number of elements so far, by the name of an array of tables
}

// indexLines returns the line of each key. If the text has a syntax error, the keys before the error are indexed.
func indexLines(text []byte) map[string]int {
	index := indexer{lines: map[string]int{}, counts: map[string]int{}}
	index.parser.Reset(text)
	for index.parser.NextExpression() {
		expression := index.parser.Expression()
		parts, line := index.key(expression.Key())
		switch expression.Kind {
		case unstable.Table:
			index.beginTable(index.elementPath(parts, true), line)
		case unstable.ArrayTable:
			array := index.elementPath(parts, false)
			index.beginTable(elementName(array, index.counts[array]), line)
			index.counts[array]++
		case unstable.KeyValue:
			name := join(index.table, strings.Join(parts, "."))
			index.lines[name] = line
			index.addNested(name, expression.Value(), line)
		}
	}
	return index.lines
}

// key returns the parts of a dotted key and the line on which the key begins; the line is 0 if there are no parts.
func (x *indexer) key(nodes unstable.Iterator) (parts []string, line int) {
	for nodes.Next() {
		node := nodes.Node()
		if line == 0 {
			line = x.parser.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return parts, line
}

// elementPath returns the dotted name of a table. A part that names an array of tables stands for the last element of
// the array. For the last part, elementPath does this only if includeLast is true.
func (x *indexer) elementPath(parts []string, includeLast bool) string {
	path := ""
	for i, part := range parts {
		path = join(path, part)
		if count := x.counts[path]; count > 0 && (includeLast || i < len(parts)-1) {
			path = elementName(path, count-1)
		}
	}
	return path
}

func (x *indexer) beginTable(name string, line int) {
	x.table = name
	x.lines[name] = line
}

// addNested records the lines of the fields of inline tables, including inline tables in arrays.
func (x *indexer) addNested(name string, value *unstable.Node, line int) {
	switch value.Kind {
	case unstable.InlineTable:
		for pairs := value.Children(); pairs.Next(); {
			pair := pairs.Node()
			parts, pairLine := x.key(pair.Key())
			field := join(name, strings.Join(parts, "."))
			x.lines[field] = pairLine
			x.addNested(field, pair.Value(), pairLine)
		}
	case unstable.Array:
		index := 0
		for elements := value.Children(); elements.Next(); index++ {
			field := elementName(name, index)
			x.lines[field] = line
			x.addNested(field, elements.Node(), line)
		}
	}
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func elementName(array string, index int) string { return array + "[" + strconv.Itoa(index) + "]" }
