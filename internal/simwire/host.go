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

// Host runs routers over the wire until in ends, one reply line for each batch. Routers share only the
// server lists that the wire itself sends once for all of them.
func Host(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<16)
	routers, banks := map[string]*policy.Router{}, map[int][]policy.Server{}
	for line := 1; ; line++ {
		text, err := r.ReadBytes('\n')
		if len(text) > 0 {
			reply, err := handle(text, routers, banks)
			if err != nil {
				return fmt.Errorf("line %d: %w", line, err)
			}
			if _, err := w.Write(append(reply, '\n')); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
			if err := w.Flush(); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
	}
}

func handle(text []byte, routers map[string]*policy.Router, banks map[int][]policy.Server) ([]byte, error) {
	var batch Batch
	if err := json.Unmarshal(text, &batch); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	reply := Reply{Parts: []ReplyPart{}}
	for _, part := range batch.Parts {
		outputs := []Output{}
		for i := range part.Inbox {
			actions, err := dispatch(&part.Inbox[i], part.Router, micros(batch.Now), routers, banks)
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

func dispatch(m *Message, name string, now policy.Time, routers map[string]*policy.Router,
	banks map[int][]policy.Server) ([]Output, error) {
	switch m.Type {
	case "":
		return nil, errors.New("message: field type: missing")
	case "CONFIGURE":
		set, err := config.ParseSettings(m.Setup)
		if err != nil {
			err = fmt.Errorf("CONFIGURE: field setup: %w", err)
		} else {
			routers[name], err = policy.New(set.Policy, m.Nonce)
		}
		if err != nil {
			return []Output{{Type: "BAIL_OUT", ReasonText: err.Error()}}, nil
		}
		return nil, nil
	case "POWER_OFF":
		delete(routers, name)
		return nil, nil
	case "CATALOG":
		servers, err := ParseServers(m.Records)
		banks[m.Bank] = servers
		return nil, err
	}
	router := routers[name]
	if router == nil {
		return nil, nil
	}
	event, err := m.Event(banks)
	if err != nil || event == nil {
		return nil, err
	}
	var outputs []Output
	for _, action := range router.Handle(now, event) {
		o, err := Encode(action)
		if err != nil {
			return nil, err
		}
		outputs = append(outputs, o)
	}
	return outputs, nil
}
