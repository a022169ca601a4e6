package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"shelfproxy/internal/control"
	"shelfproxy/internal/exit"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/supervisor"
	"shelfproxy/internal/supervisor/agent"
	"shelfproxy/internal/tomlfile"
)

// fleetFile says which processes a supervisor runs. In the texts of [instance] {i} stands for an instance's number, from 0, and
// {port} for first_port and that number added up.
type fleetFile struct {
	Fleet struct {
		Instances    int               `toml:"instances"`
		AtOnce       int               `toml:"at_once"`       // replaced at once
		ReadyWithin  tomlfile.Duration `toml:"ready_within"`  // a process that is not ready by then is killed
		Watch        tomlfile.Duration `toml:"watch"`         // one that ends or does badly so soon is no good
		EndWithin    tomlfile.Duration `toml:"end_within"`    // one that was told to end is killed after that
		Silent       tomlfile.Duration `toml:"silent"`        // one that says nothing for so long hangs, and is replaced; 0: nobody looks
		BackoffLeast tomlfile.Duration `toml:"backoff_least"` // before a start after a failed one, doubled each time
		BackoffMost  tomlfile.Duration `toml:"backoff_most"`
		MaxFailed    float64           `toml:"max_failed"`   // share of a watched process's answers that may fail, past the others'
		LeastJudged  int               `toml:"least_judged"` // answers from which that is judged
		Control      string            `toml:"control"`      // path of the Unix socket for shelfproxy ctl
		Log          string            `toml:"log"`          // auto, text or json
	} `toml:"fleet"`
	Instance struct {
		Program   string   `toml:"program"` // this one where it is empty
		Args      []string `toml:"args"`
		Env       []string `toml:"env"`    // NAME=VALUE, beside the supervisor's own
		Listen    string   `toml:"listen"` // host and port for clients
		FirstPort int      `toml:"first_port"`
	} `toml:"instance"`
}

// core is what the supervisor's core is told.
func (f *fleetFile) core(seed uint64) supervisor.Config {
	c := f.Fleet
	return supervisor.Config{Instances: c.Instances, MaxConcurrent: c.AtOnce, ReadyTimeout: c.ReadyWithin.D(), ObservationPeriod: c.Watch.D(), TerminateTimeout: c.EndWithin.D(), HangTimeout: c.Silent.D(),
		MinBackoff: c.BackoffLeast.D(), MaxBackoff: c.BackoffMost.D(), MaxFailureRate: c.MaxFailed, MinSamples: c.LeastJudged, Seed: seed}
}

// fill writes an instance's number and port into a text.
func (f *fleetFile) fill(text string, i int) string {
	return strings.NewReplacer("{i}", strconv.Itoa(i), "{port}", strconv.Itoa(f.Instance.FirstPort+i)).Replace(text)
}

func (f *fleetFile) fillAll(texts []string, i int) (out []string) {
	for _, t := range texts {
		out = append(out, f.fill(t, i))
	}
	return out
}

func readFleet(path string) (*fleetFile, error) {
	f := &fleetFile{}
	f.Fleet.Instances, f.Fleet.AtOnce, f.Fleet.ReadyWithin, f.Fleet.Watch = 1, 1, tomlfile.Duration(10*time.Second), tomlfile.Duration(10*time.Second)
	f.Fleet.EndWithin, f.Fleet.BackoffLeast, f.Fleet.BackoffMost = tomlfile.Duration(6*time.Second), tomlfile.Duration(200*time.Millisecond), tomlfile.Duration(30*time.Second)
	f.Fleet.Silent = tomlfile.Duration(10 * time.Second)
	f.Fleet.MaxFailed, f.Fleet.LeastJudged, f.Fleet.Log = 0.2, 50, "auto"
	file, err := tomlfile.Read(path, f)
	if err != nil {
		return nil, err
	}
	if err := f.core(0).Validate(); err != nil {
		return nil, file.Errorf("fleet", "%v", err)
	}
	seen := map[string]bool{}
	for i := range f.Fleet.Instances {
		addr := f.fill(f.Instance.Listen, i)
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, file.Errorf("instance.listen", "%q is no host and port", addr)
		}
		if seen[addr] {
			return nil, file.Errorf("instance.listen", "%s is that of two instances; {i} and {port} tell them apart", addr)
		}
		seen[addr] = true
	}
	for _, e := range f.Instance.Env {
		if name, _, ok := strings.Cut(e, "="); !ok || name == "" {
			return nil, file.Errorf("instance.env", "%q is no NAME=VALUE", e)
		}
	}
	return f, nil
}

// fleet is the verb that runs many nodes.
func fleet() *cobra.Command {
	return &cobra.Command{Use: "fleet FILE", Short: "Run many nodes on this machine, start them again, and replace them without a gap",
		Long: "fleet runs the nodes that FILE (TOML) describes. It keeps their listening sockets, so that a node which is replaced or\n" +
			"crashes refuses no connection. SIGHUP goes to all nodes; SIGTERM ends them and it. See docs/supervise.md.",
		Example: "  shelfproxy fleet deploy/machine.toml\n  shelfproxy ctl --control run/fleet instances\n  shelfproxy ctl --control run/fleet replace",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, words []string) error {
			f, err := readFleet(words[0])
			if err != nil {
				return exit.With(exitConfig, err)
			}
			return exit.With(exitFailed, runFleet(f))
		}}
}

func runFleet(f *fleetFile) error {
	hup, term := catch(syscall.SIGHUP), catch(syscall.SIGTERM, syscall.SIGINT)
	log := logs.Component(logs.New(os.Stderr, logs.Options{Level: slog.LevelInfo, Format: f.Fleet.Log}), "fleet")
	program := f.Instance.Program
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		program = own
	}
	a, err := agent.New(agent.Options{Config: f.core(uint64(time.Now().UnixNano())), Log: log,
		Listen: func(i int) string { return f.fill(f.Instance.Listen, i) },
		Command: func(i int) (string, []string, []string) {
			return f.fill(program, i), f.fillAll(f.Instance.Args, i), append(os.Environ(), f.fillAll(f.Instance.Env, i)...)
		}})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	stop := make(chan struct{})
	calls := control.New(f.Fleet.Control)
	a.RegisterCalls(calls)
	go func() {
		if err := calls.Serve(stop); err != nil {
			log.Error("operators' calls are not taken", logs.Event, "control_failed", "error", err.Error())
		}
	}()
	go func() {
		for {
			select {
			case <-hup:
				a.Signal(syscall.SIGHUP)
			case <-term:
				a.Post(supervisor.StopRequested{})
			case <-stop:
				return
			}
		}
	}()
	log.Info("the supervisor is up", logs.Event, "supervising", "instances", f.Fleet.Instances)
	a.Serve()
	close(stop)
	log.Info("all nodes have ended", logs.Event, "supervised")
	return nil
}
