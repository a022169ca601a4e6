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

// notifyTimeout bounds how long a notification waits for space in the pipe of a supervisor that does not read.
const notifyTimeout = 2 * time.Millisecond

// Parent is a process's view of the supervisor that started it. It is not safe for concurrent use.
type Parent struct {
	Listener net.Listener // inherited; nil if there is none
	notify   *os.File     // nil without a supervisor that wants notifications
}

// Inherit takes over the descriptors that this process was started with, and removes the variables that name them, so that no
// child of this process takes them for its own. If there are none it returns a Parent that has nothing.
func Inherit() (*Parent, error) {
	parent := &Parent{}
	listenFDs, listenPID, notify := os.Getenv(listenFDsVariable), os.Getenv(listenPIDVariable), os.Getenv(notifyFDVariable)
	for _, variable := range []string{listenFDsVariable, listenPIDVariable, notifyFDVariable} {
		_ = os.Unsetenv(variable) // fails only for names that are malformed
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

// inheritPipe opens the pipe for notifications. Writes to it never block, so that a supervisor that hangs can't stall this
// process.
func inheritPipe(number string) (*os.File, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < listenFD {
		return nil, fmt.Errorf("%q is no descriptor", number)
	}
	syscall.CloseOnExec(fd)
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), "notify"), nil
}

// inheritListener opens the listening socket.
func inheritListener(count string) (net.Listener, error) {
	if n, err := strconv.Atoi(count); err != nil || n != 1 {
		return nil, fmt.Errorf("%q, want one socket", count)
	}
	file := os.NewFile(listenFD, "listen")
	defer func() { _ = file.Close() }() // FileListener duplicates the descriptor
	return net.FileListener(file)
}

// IsSupervised reports whether a supervisor reads this process's notifications.
func (p *Parent) IsSupervised() bool { return p.notify != nil }

// ReportReady notifies the supervisor that this process serves. An error means that the supervisor is gone.
func (p *Parent) ReportReady() error { return p.send(readyNotification) }

// ReportResponses notifies the supervisor of the responses that this process gave since its last report, and how many of them
// were failures. An error means that the supervisor is gone.
func (p *Parent) ReportResponses(responses, failed int) error {
	return p.send(servedNotification + " " + strconv.Itoa(responses) + " " + strconv.Itoa(failed))
}

// send writes a notification. It goes into the pipe in one piece or not at all: if there is no space for it, it is lost.
func (p *Parent) send(notification string) error {
	if p.notify == nil {
		return nil
	}
	_ = p.notify.SetWriteDeadline(time.Now().Add(notifyTimeout)) // if it fails so does the write
	_, err := p.notify.WriteString(notification + "\n")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
