// Package settings reads the supervisor's file, which describes the processes that "shelfproxy fleet" runs. docs/supervise.md lists
// the keys of the file.
package settings

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"shelfproxy/internal/supervisor"
	"shelfproxy/internal/tomlfile"
)

// File is the content of a supervisor's file. In the strings of Instance, {i} stands for an instance's number, counted from 0, and
// {port} stands for first_port plus that number.
type File struct {
	Fleet    Fleet    `toml:"fleet"`
	Instance Instance `toml:"instance"`
}

// Fleet configures how processes are started, observed and replaced. supervisor.Config describes the fields in detail.
type Fleet struct {
	Instances         int               `toml:"instances"`
	MaxConcurrent     int               `toml:"at_once"` // maximum number of instances replaced at the same time
	ReadyTimeout      tomlfile.Duration `toml:"ready_within"`
	ObservationPeriod tomlfile.Duration `toml:"watch"`
	TerminateTimeout  tomlfile.Duration `toml:"end_within"`
	HangTimeout       tomlfile.Duration `toml:"silent"` // 0: processes are not checked for hanging
	MinBackoff        tomlfile.Duration `toml:"backoff_least"`
	MaxBackoff        tomlfile.Duration `toml:"backoff_most"`
	MaxFailureRate    float64           `toml:"max_failed"`
	MinSamples        int               `toml:"least_judged"`
	Control           string            `toml:"control"` // path of the Unix socket for shelfproxy ctl; empty: none
	LogFormat         string            `toml:"log"`     // auto, text or json
}

// Instance describes how the processes of each instance are run.
type Instance struct {
	Program   string   `toml:"program"` // path of the program; empty: the supervisor's own program
	Args      []string `toml:"args"`
	Env       []string `toml:"env"`    // NAME=VALUE each, added to the supervisor's own environment
	Listen    string   `toml:"listen"` // host and port at which the instance serves clients
	FirstPort int      `toml:"first_port"`
}

// defaults returns a File with the default values, which apply to keys that a file does not have.
func defaults() *File {
	return &File{Fleet: Fleet{
		Instances:         1,
		MaxConcurrent:     1,
		ReadyTimeout:      tomlfile.Duration(10 * time.Second),
		ObservationPeriod: tomlfile.Duration(10 * time.Second),
		TerminateTimeout:  tomlfile.Duration(6 * time.Second),
		HangTimeout:       tomlfile.Duration(10 * time.Second),
		MinBackoff:        tomlfile.Duration(200 * time.Millisecond),
		MaxBackoff:        tomlfile.Duration(30 * time.Second),
		MaxFailureRate:    0.2,
		MinSamples:        50,
		LogFormat:         "auto",
	}}
}

// Read reads and validates the supervisor's file at path. Errors name the file, the line and the field.
func Read(path string) (*File, error) {
	settings := defaults()
	file, err := tomlfile.Read(path, settings)
	if err != nil {
		return nil, err
	}
	if err := settings.CoreConfig(0).Validate(); err != nil {
		return nil, file.Errorf("fleet", "%v", err)
	}
	if err := settings.validateListen(file); err != nil {
		return nil, err
	}
	if err := settings.validateEnv(file); err != nil {
		return nil, err
	}
	return settings, nil
}

// validateListen checks that each instance's listening address is valid and differs from the others'.
func (f *File) validateListen(file *tomlfile.File) error {
	const field = "instance.listen"
	isUsed := map[string]bool{}
	for i := range f.Fleet.Instances {
		addr := f.ListenAddress(i)
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return file.Errorf(field, "%q is no host and port", addr)
		}
		if isUsed[addr] {
			return file.Errorf(field, "%s is that of two instances; {i} and {port} tell them apart", addr)
		}
		isUsed[addr] = true
	}
	return nil
}

// validateEnv checks that each environment variable has the form NAME=VALUE with a name that is not empty.
func (f *File) validateEnv(file *tomlfile.File) error {
	for _, variable := range f.Instance.Env {
		if name, _, hasValue := strings.Cut(variable, "="); !hasValue || name == "" {
			return file.Errorf("instance.env", "%q is no NAME=VALUE", variable)
		}
	}
	return nil
}

// CoreConfig returns the configuration of the supervisor's core. seed is the seed of the backoff's jitter.
func (f *File) CoreConfig(seed uint64) supervisor.Config {
	fleet := f.Fleet
	return supervisor.Config{
		Instances:         fleet.Instances,
		MaxConcurrent:     fleet.MaxConcurrent,
		ReadyTimeout:      fleet.ReadyTimeout.D(),
		ObservationPeriod: fleet.ObservationPeriod.D(),
		TerminateTimeout:  fleet.TerminateTimeout.D(),
		HangTimeout:       fleet.HangTimeout.D(),
		MinBackoff:        fleet.MinBackoff.D(),
		MaxBackoff:        fleet.MaxBackoff.D(),
		MaxFailureRate:    fleet.MaxFailureRate,
		MinSamples:        fleet.MinSamples,
		Seed:              seed,
	}
}

// ListenAddress returns the host and port at which an instance serves clients.
func (f *File) ListenAddress(instance int) string { return f.expand(f.Instance.Listen, instance) }

// Args returns the command-line arguments of an instance's processes.
func (f *File) Args(instance int) []string { return f.expandAll(f.Instance.Args, instance) }

// Env returns the environment of an instance's processes: the supervisor's own environment and the variables of the file.
func (f *File) Env(instance int) []string {
	return append(os.Environ(), f.expandAll(f.Instance.Env, instance)...)
}

// Program returns the path of an instance's program. ownPath is the path of the supervisor's own program, the default.
func (f *File) Program(instance int, ownPath string) string {
	if f.Instance.Program == "" {
		return f.expand(ownPath, instance)
	}
	return f.expand(f.Instance.Program, instance)
}

// expand replaces {i} and {port} in a string by their values for an instance.
func (f *File) expand(text string, instance int) string {
	port := f.Instance.FirstPort + instance
	return strings.NewReplacer("{i}", strconv.Itoa(instance), "{port}", strconv.Itoa(port)).Replace(text)
}

func (f *File) expandAll(texts []string, instance int) []string {
	var expanded []string
	for _, text := range texts {
		expanded = append(expanded, f.expand(text, instance))
	}
	return expanded
}
