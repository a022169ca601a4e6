package discovery

import (
	"bytes"
	"fmt"
	"net"

	"github.com/valyala/fastjson"

	"shelfproxy/internal/jsonsplit"
)

// instancesField is the JSON field that holds the entries of a list.
const instancesField = "instances"

// statesByName maps the values of the JSON field "lifecycle" to states.
var statesByName = map[string]State{"up": Up, "draining": Draining, "removed": Removed}

// Parser reads endpoint lists from their JSON text. It parses one entry after another, so that it never holds the JSON tree of a
// list with thousands of entries. The zero value is ready to use. A Parser is not safe for concurrent use.
type Parser struct {
	json  fastjson.Parser
	names map[string]string // the names of zones and kinds in the list that is being read; entries with the same name share its string
}

// Parse reads a list. If the text is valid JSON, an error is a *ParseError.
func (p *Parser) Parse(text []byte) (List, error) {
	p.names = map[string]string{}
	list, isSplit, err := p.parseSplit(text)
	if isSplit {
		return list, err
	}
	// The text cannot be split into entries. It is invalid, or valid but unusual. Parsing the whole text reads a valid list and
	// finds what is wrong with an invalid one.
	whole, err := fastjson.ParseBytes(text)
	if err != nil {
		return List{}, err
	}
	return p.parseTree(whole)
}

// parseSplit reads a list entry by entry, without parsing the text as a whole. isSplit is false if the text cannot be
// split into its entries safely.
func (p *Parser) parseSplit(text []byte) (list List, isSplit bool, err error) {
	start, end, ok := jsonsplit.Member(text, instancesField)
	if !ok {
		return list, false, nil
	}
	entries := text[start:end]
	header, err := p.json.ParseBytes(bytes.Join([][]byte{text[:start], text[end:]}, []byte("[]")))
	if err != nil {
		return list, false, nil
	}
	if list, err = parseHeader(header); err != nil {
		return list, false, nil
	}
	list.Servers = make([]Server, 0, bytes.Count(entries, []byte("{")))
	isSplit, err = jsonsplit.Objects(entries, func(object []byte) error {
		instance, err := p.json.ParseBytes(object)
		if err != nil {
			return err
		}
		return p.addServer(&list, instance)
	})
	return list, isSplit, err
}

// parseTree reads a list from the JSON tree of its whole text.
func (p *Parser) parseTree(value *fastjson.Value) (List, error) {
	list, err := parseHeader(value)
	if err != nil {
		return list, err
	}
	for _, instance := range value.GetArray(instancesField) {
		if err := p.addServer(&list, instance); err != nil {
			return list, err
		}
	}
	return list, nil
}

// parseHeader reads the fields of a list other than its entries, and checks that the field of the entries is present.
func parseHeader(value *fastjson.Value) (List, error) {
	list := List{Version: value.GetInt64("generation"), IsFull: value.GetBool("reset")}
	if value.Get("generation") == nil || value.Get(instancesField) == nil {
		return list, &ParseError{Field: "generation or instances", Problem: "missing"}
	}
	return list, nil
}

// addServer reads an entry from its JSON and appends it to the list.
func (p *Parser) addServer(list *List, instance *fastjson.Value) error {
	server := Server{
		ID:        string(instance.GetStringBytes("instanceId")),
		Addr:      string(instance.GetStringBytes("hostPort")),
		Zone:      p.intern(instance.GetStringBytes("zone")),
		Kind:      p.intern(instance.GetStringBytes("machineType")),
		Cell:      instance.GetInt("cell"),
		Weight:    instance.GetFloat64("weight"),
		StartedMs: instance.GetInt64("startedAtMs"),
	}
	path := func() string { return fmt.Sprintf("%s[%d]", instancesField, len(list.Servers)) }
	state, known := statesByName[string(instance.GetStringBytes("lifecycle"))]
	if !known || server.ID == "" {
		return &ParseError{Field: path(), Problem: "no instanceId, or an unknown lifecycle"}
	}
	server.State = state
	// A removed server needs no address.
	if _, _, err := net.SplitHostPort(server.Addr); err != nil && state != Removed {
		return &ParseError{Field: path() + ".hostPort", Problem: fmt.Sprintf("%q is no host and port", server.Addr)}
	}
	list.Servers = append(list.Servers, server)
	return nil
}

// intern returns a name as a string. All entries of a list with the same name share one string.
func (p *Parser) intern(text []byte) string {
	if known, ok := p.names[string(text)]; ok {
		return known
	}
	name := string(text)
	p.names[name] = name
	return name
}
