package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"shelfproxy/internal/testbed/faultproxy"
)

// firstPort is the port of the first instance of every machine. Machines do not conflict, as each has its own IP address.
const firstPort = 20000

// Machine is a supervisor process with the node instances that it runs, as on one machine of a fleet.
type Machine struct {
	Supervisor *Process
	Log        *Log // output of the supervisor and its instances

	t         testing.TB
	template  *Node // the instances have its configuration, except for addresses and peers
	proxy     *faultproxy.Proxy
	dir, ip   string
	instances int
}

// MachineStatus is the supervisor's answer to the control call "instances".
type MachineStatus struct {
	IsHalted  bool `json:"halted"`
	Instances []InstanceStatus
}

// InstanceStatus is the status of an instance as the supervisor reports it.
type InstanceStatus struct {
	State         string
	Process       int
	PID           int
	IsReplacing   bool `json:"to_be_replaced"`
	FailedStarts  int  `json:"failed_starts"`
	ProcessesLeft int  `json:"ending"` // earlier processes that have not ended yet
}

// PIDs returns the process ids of the instances.
func (s MachineStatus) PIDs() (pids []int) {
	for _, instance := range s.Instances {
		pids = append(pids, instance.PID)
	}
	return pids
}

const machineOperatorFile = `[shutdown]
grace = "200ms"
last = "1s"
[rollout]
control = %q
[members]
on = true
period = "100ms"
wait = "50ms"
`

const machineFleetFile = `[fleet]
instances = %d
watch = "200ms"
end_within = "3s"
backoff_least = "50ms"
backoff_most = "1s"
silent = "1s"
control = %q
[instance]
program = %q
args = ["--file", %q]
env = [%q]
listen = "%s:{port}"
first_port = %d
`

// NewMachine starts a supervisor with instances and waits until all serve.
func NewMachine(t testing.TB, instances int) *Machine {
	t.Helper()
	machine := &Machine{Log: &Log{}, t: t, template: NewNode(t, NewCacheServer(t, Hit)), dir: t.TempDir(), instances: instances}
	machine.proxy = newFaultProxy(t, instances, faultproxy.Faults{})
	machine.template.ChooseAddress()
	ip, _, err := net.SplitHostPort(machine.template.Config.Listen)
	if err != nil {
		t.Fatalf("split the machine's address: %v", err)
	}
	machine.ip = ip
	for i := range instances {
		writeFleetConfig(machine.template, machine.path("n%d.json", i), machine.Address(i), machine.proxy, i, instances, instances)
		WriteFile(t, machine.path("n%d.toml", i), fmt.Sprintf(machineOperatorFile, machine.instanceControl(i)))
	}
	machine.Install(NodeProgram)
	WriteFile(t, machine.path("fleet.toml"), fmt.Sprintf(machineFleetFile, instances, machine.control(), machine.path("node"), machine.path("n{i}.toml"),
		"LB_CONFIG="+machine.path("n{i}.json"), machine.ip, firstPort))
	machine.start()
	machine.WaitServing("at the start")
	return machine
}

func (m *Machine) path(format string, args ...any) string {
	return filepath.Join(m.dir, fmt.Sprintf(format, args...))
}

func (m *Machine) control() string { return m.path("ctl") }

func (m *Machine) instanceControl(instance int) string { return m.path("n%d.ctl", instance) }

// start starts the supervisor. The cleanup of the test terminates it.
func (m *Machine) start() {
	m.t.Helper()
	cmd := exec.CommandContext(context.Background(), NodeProgram, "fleet", m.path("fleet.toml"))
	cmd.Stdout, cmd.Stderr = m.Log, m.Log
	m.Supervisor = StartProcess(m.t, cmd)
	m.t.Cleanup(func() { _ = m.Supervisor.Terminate() }) // the error is ignored: a test may have killed the supervisor
}

// Address returns the address of an instance.
func (m *Machine) Address(instance int) string { return fmt.Sprintf("%s:%d", m.ip, firstPort+instance) }

// Install replaces the program that instances are started with, atomically.
func (m *Machine) Install(program string) {
	m.t.Helper()
	next := m.path("new")
	if err := os.Symlink(program, next); err != nil {
		m.t.Fatalf("install %s: %v", program, err)
	}
	if err := os.Rename(next, m.path("node")); err != nil {
		m.t.Fatalf("install %s: %v", program, err)
	}
}

// Ctl runs the subcommand ctl against the supervisor and returns the status that it prints. The status is empty if the supervisor
// rejects the command or does not answer.
func (m *Machine) Ctl(words ...string) (status MachineStatus) {
	output, err := ctl(m.t, m.control(), words...).Output()
	if err != nil || json.Unmarshal(output, &status) != nil {
		return MachineStatus{}
	}
	return status
}

// InstanceCtl runs the subcommand ctl against an instance and decodes its output into answer. It returns false if the instance
// gives no valid answer.
func (m *Machine) InstanceCtl(instance int, answer any, words ...string) bool {
	output, err := ctl(m.t, m.instanceControl(instance), words...).Output()
	return err == nil && json.Unmarshal(output, answer) == nil
}

// WaitServing waits until every instance serves, and either no replacement is under way or replacing is halted. It returns the
// status.
func (m *Machine) WaitServing(when string) (status MachineStatus) {
	m.t.Helper()
	m.WaitFor("all instances serve "+when, func() bool {
		status = m.Ctl("instances")
		return m.isServing(status)
	})
	return status
}

func (m *Machine) isServing(status MachineStatus) bool {
	if len(status.Instances) != m.instances {
		return false
	}
	for _, instance := range status.Instances {
		if instance.State != "serves" || instance.ProcessesLeft > 0 || instance.IsReplacing && !status.IsHalted {
			return false
		}
	}
	return true
}

// WaitFor waits for a condition. A failure message includes the log.
func (m *Machine) WaitFor(what string, condition func() bool) {
	m.t.Helper()
	WaitFor(m.t, what, condition, m.Log)
}

// WaitForLog waits until a text was logged at least count times.
func (m *Machine) WaitForLog(text string, count int) {
	m.t.Helper()
	m.WaitFor(fmt.Sprintf("the log has %s %d times", text, count), func() bool { return m.Log.Count(text) >= count })
}
