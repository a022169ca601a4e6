// Package handover is the interface between a supervisor and a process that it starts: a listening socket that outlives the
// process, passed by the protocol of systemd's socket activation (sd_listen_fds(3)), and a pipe on which the process notifies
// the supervisor of its state. Parent is the process's side, Child the supervisor's.
package handover

import "syscall"

// The environment variables that tell a process what it inherits. The first two are systemd's.
const (
	listenFDsVariable = "LISTEN_FDS"
	listenPIDVariable = "LISTEN_PID"
	notifyFDVariable  = "SHELFPROXY_NOTIFY_FD"
)

// The descriptors that a process inherits.
const (
	listenFD = 3 // systemd's SD_LISTEN_FDS_START
	notifyFD = listenFD + 1
)

// ReplacedSignal tells a process to shut down because its successor accepts connections at its socket from now on.
const ReplacedSignal = syscall.SIGUSR2

// The notifications that a process writes, one a line: "ready", and "served RESPONSES FAILED" for the responses since the last
// such line.
const (
	readyNotification  = "ready"
	servedNotification = "served"
)
