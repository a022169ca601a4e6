package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// notifyTimeout bounds how long a notification waits for space in the pipe if the supervisor does not read it.
const notifyTimeout = 2 * time.Millisecond

// Parent holds what a process inherits from the supervisor that started it, and notifies the supervisor. A Parent is not safe for
// concurrent use.
type Parent struct {
	Listener net.Listener // inherited listening socket; nil if there is none
	notify   *os.File     // write end of the pipe; nil without a supervisor that reads notifications
}

// Inherit takes over the descriptors that this process was started with. It unsets the environment variables that name them, so
// that no child of this process takes the descriptors for its own. Without such descriptors it returns an empty Parent.
func Inherit() (*Parent, error) {
	parent := &Parent{}
	listenFDs, listenPID, notify := os.Getenv(listenFDsVariable), os.Getenv(listenPIDVariable), os.Getenv(notifyFDVariable)
	for _, variable := range []string{listenFDsVariable, listenPIDVariable, notifyFDVariable} {
		_ = os.Unsetenv(variable) // can't fail: Unsetenv rejects only malformed names
	}
	if notify != "" {
		file, err := inheritPipe(notify)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", notifyFDVariable, err)
		}
		parent.notify = file
	}
	if listenFDs == "" || listenPID != "" && listenPID != strconv.Itoa(os.Getpid()) {
		return parent, nil
	}
	listener, err := inheritListener(listenFDs)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listenFDsVariable, err)
	}
	parent.Listener = listener
	return parent, nil
}

// inheritPipe opens the inherited pipe for notifications in non-blocking mode, so that a supervisor that hangs can't stall this
// process.
func inheritPipe(number string) (*os.File, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < listenFD {
		return nil, fmt.Errorf("%q is not the number of an inherited descriptor", number)
	}
	syscall.CloseOnExec(fd)
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), "notify"), nil
}

// inheritListener opens the inherited listening socket. count is the value of LISTEN_FDS, which must be 1.
func inheritListener(count string) (net.Listener, error) {
	if n, err := strconv.Atoi(count); err != nil || n != 1 {
		return nil, fmt.Errorf("%q sockets are passed, want one", count)
	}
	file := os.NewFile(listenFD, "listen")
	defer func() { _ = file.Close() }() // the listener uses a duplicate of the descriptor
	return net.FileListener(file)
}

// IsSupervised reports whether a supervisor reads this process's notifications.
func (p *Parent) IsSupervised() bool { return p.notify != nil }

// ReportReady notifies the supervisor that this process is ready: it accepts connections. An error means that the supervisor has
// ended.
func (p *Parent) ReportReady() error { return p.send(readyNotification) }

// ReportResponses notifies the supervisor of the responses that this process gave since its last report, and how many of them
// failed. An error means that the supervisor has ended.
func (p *Parent) ReportResponses(responses, failed int) error {
	return p.send(servedNotification + " " + strconv.Itoa(responses) + " " + strconv.Itoa(failed))
}

// send writes a notification to the pipe, completely or not at all. If there is no space for it within notifyTimeout, the
// notification is dropped without an error.
func (p *Parent) send(notification string) error {
	if p.notify == nil {
		return nil
	}
	_ = p.notify.SetWriteDeadline(time.Now().Add(notifyTimeout)) // an error is ignored: then the write fails too
	_, err := p.notify.WriteString(notification + "\n")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
