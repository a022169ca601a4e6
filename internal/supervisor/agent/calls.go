package agent

import (
	"errors"
	"net/url"
	"strconv"

	"shelfproxy/internal/control"
	"shelfproxy/internal/supervisor"
)

// Overview is the state of all instances, as JSON for the control socket.
type Overview struct {
	Halted    bool       `json:"halted"`
	Instances []Instance `json:"instances"`
}

// Instance is the state of one instance, the process ID of its serving process (0: none) and its listening address.
type Instance struct {
	supervisor.Status
	PID    int    `json:"pid"`
	Listen string `json:"listen"`
}

// RegisterCalls registers the operators' calls: the query instances and the commands replace, halt, resume and stop. The command
// replace is for the instance N if it has the parameter instance=N, otherwise for all instances. Each command returns the state
// of all instances after the command.
func (a *Agent) RegisterCalls(server *control.Server) {
	server.HandleQuery("instances", a.overview)
	handle := func(name string, parse func(url.Values) (supervisor.Event, error)) {
		server.HandleCommand(name, func(query url.Values) (any, error) {
			ev, err := parse(query)
			if err != nil {
				return nil, err
			}
			if !a.Post(ev) {
				return nil, control.ErrBusy
			}
			return a.overview(nil)
		})
	}
	always := func(ev supervisor.Event) func(url.Values) (supervisor.Event, error) {
		return func(url.Values) (supervisor.Event, error) { return ev, nil }
	}
	handle("halt", always(supervisor.HaltRequested{}))
	handle("resume", always(supervisor.ResumeRequested{}))
	handle("stop", always(supervisor.StopRequested{}))
	handle("replace", a.parseReplace)
}

// overview handles the query "instances": it returns the state of all instances.
func (a *Agent) overview(url.Values) (any, error) {
	var overview Overview
	err := a.Call(func() {
		var statuses []supervisor.Status
		statuses, overview.Halted = a.core.Statuses(a.Now())
		for _, status := range statuses {
			instance := Instance{Status: status, Listen: a.opt.Listen(status.Instance)}
			if process := a.running[status.Process]; process != nil {
				instance.PID = process.Pid
			}
			overview.Instances = append(overview.Instances, instance)
		}
	})
	if err != nil {
		return nil, control.ErrBusy
	}
	return overview, nil
}

// parseReplace returns the event for the call "replace": for one instance if the query names one, otherwise for all.
func (a *Agent) parseReplace(query url.Values) (supervisor.Event, error) {
	if !query.Has("instance") {
		return supervisor.ReplaceAllRequested{}, nil
	}
	instance, err := strconv.Atoi(query.Get("instance"))
	if err != nil || instance < 0 || instance >= a.opt.Config.Instances {
		return nil, errors.New("instance: there is none of that number")
	}
	return supervisor.ReplaceRequested{Instance: instance}, nil
}
