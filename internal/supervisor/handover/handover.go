// Package handover is the interface between a supervisor and a process that it starts. The process inherits a listening socket
// that outlives it, passed by the protocol of systemd's socket activation (sd_listen_fds(3)). It also inherits a pipe on which it
// notifies the supervisor of its state. The process uses the type Parent, and the supervisor uses the type Child.
package handover

import "syscall"

// The environment variables that tell a process which descriptors it inherits. The first two are defined by systemd.
const (
	listenFDsVariable = "LISTEN_FDS"
	listenPIDVariable = "LISTEN_PID"
	notifyFDVariable  = "SHELFPROXY_NOTIFY_FD"
)

// The numbers of the descriptors that a process inherits.
const (
	listenFD = 3 // the first descriptor that systemd's protocol passes, SD_LISTEN_FDS_START
	notifyFD = listenFD + 1
)

// ReplacedSignal tells a process to shut down because a new process accepts all connections at the listening socket that both
// share.
const ReplacedSignal = syscall.SIGUSR2

// The notifications that a process writes to the pipe, one per line: "ready", and "served RESPONSES FAILED" with the numbers of
// responses and failures since the previous "served" line.
const (
	readyNotification  = "ready"
	servedNotification = "served"
)
