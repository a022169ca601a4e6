// Package simwire runs routers of package policy in the simulator. It translates between the simulator's lines of JSON
// (the protocol birch-d007) and the events and actions of the policy.
package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"shelfproxy/internal/config"
	"shelfproxy/internal/policy"
)

const (
	readBufferSize  = 1 << 20 // in bytes
	writeBufferSize = 1 << 16 // in bytes
)

// Host runs routers until the input ends. It writes one reply line for each batch. Routers share only the lists of
// servers, because the simulator sends each list once for all routers. An error names the line and the message that it
// is about.
func Host(in io.Reader, out io.Writer) error {
	reader, writer := bufio.NewReaderSize(in, readBufferSize), bufio.NewWriterSize(out, writeBufferSize)
	host := host{routers: map[string]*policy.Router{}, banks: map[int][]policy.Server{}}
	for lineNumber := 1; ; lineNumber++ {
		line, readErr := reader.ReadBytes('\n')
		if len(line) > 0 {
			reply, err := host.handle(line)
			if err != nil {
				return fmt.Errorf("line %d: %w", lineNumber, err)
			}
			if err := writeLine(writer, reply); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read batch: %w", readErr)
		}
	}
}

func writeLine(writer *bufio.Writer, text []byte) error {
	if _, err := writer.Write(append(text, '\n')); err != nil {
		return err
	}
	return writer.Flush()
}

// host holds the routers by their names, and the lists of servers by their numbers.
type host struct {
	routers map[string]*policy.Router
	banks   map[int][]policy.Server
}

// handle passes the messages of a batch to their routers and returns the reply to the batch.
func (h *host) handle(line []byte) ([]byte, error) {
	var batch Batch
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	reply := Reply{Parts: []ReplyPart{}}
	for _, part := range batch.Parts {
		outputs := []Output{}
		for i := range part.Inbox {
			actions, err := h.dispatch(&part.Inbox[i], part.Router, micros(batch.Now))
			if err != nil {
				return nil, err
			}
			outputs = append(outputs, actions...)
		}
		if len(outputs) > 0 {
			reply.Parts = append(reply.Parts, ReplyPart{Router: part.Router, Output: outputs})
		}
	}
	return json.Marshal(reply)
}

// dispatch passes one message to the router with this name. It skips messages of unknown types, and messages for a
// router that does not exist.
func (h *host) dispatch(message *Message, name string, now policy.Time) ([]Output, error) {
	switch message.Type {
	case "":
		return nil, errors.New("message: field type: missing")
	case "CONFIGURE":
		if err := h.configure(message, name); err != nil {
			return []Output{{Type: "BAIL_OUT", ReasonText: err.Error()}}, nil
		}
		return nil, nil
	case "POWER_OFF":
		delete(h.routers, name)
		return nil, nil
	case "CATALOG":
		servers, err := ParseServers(message.Records)
		h.banks[message.Bank] = servers
		return nil, err
	}
	router := h.routers[name]
	if router == nil {
		return nil, nil
	}
	event, err := message.Event(h.banks)
	if err != nil || event == nil {
		return nil, err
	}
	return encodeAll(router.Handle(now, event))
}

// configure starts the router with this name. If the router exists, a new one replaces it.
func (h *host) configure(message *Message, name string) error {
	settings, err := config.ParseSettings(message.Setup)
	if err != nil {
		return fmt.Errorf("CONFIGURE: field setup: %w", err)
	}
	h.routers[name], err = policy.New(settings.Policy, message.Seed)
	return err
}

func encodeAll(actions []policy.Action) ([]Output, error) {
	var outputs []Output
	for _, action := range actions {
		output, err := Encode(action)
		if err != nil {
			return nil, err
		}
		outputs = append(outputs, output)
	}
	return outputs, nil
}
