package handover

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// maxNotificationBytes is the maximum length of one notification.
const maxNotificationBytes = 128

// ErrMalformedNotification is returned by ReadNotifications if the process wrote anything other than notifications.
var ErrMalformedNotification = errors.New("handover: malformed notification")

// Child holds what a process that is about to be started inherits, and the supervisor's end of the notification pipe.
type Child struct {
	Files []*os.File // files that the process inherits, as its descriptors 3, 4 and so on
	Env   []string   // to be added to the process's environment
	read  *os.File   // the supervisor's end of the pipe
}

// NewChild opens the notification pipe of a process that will inherit listener. After the process was started, or could not be
// started, the caller must call CloseInherited, and then either ReadNotifications or Discard.
func NewChild(listener *os.File) (*Child, error) {
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	return &Child{Files: []*os.File{listener, write}, read: read, Env: []string{
		listenFDsVariable + "=1",
		listenPIDVariable + "=", // empty, because the process ID is unknown before the start
		notifyFDVariable + "=" + strconv.Itoa(notifyFD),
	}}, nil
}

// CloseInherited closes the supervisor's copy of the pipe's write end. The pipe then ends when the child process does.
func (c *Child) CloseInherited() { _ = c.Files[1].Close() } // an error is ignored: the supervisor wrote nothing to the pipe

// Discard closes the supervisor's end of the pipe.
func (c *Child) Discard() { _ = c.read.Close() } // an error is ignored: this end is only read

// ReadNotifications calls ready or served for each notification until the process ends. It returns ErrMalformedNotification if the
// process writes anything else. It closes the supervisor's end of the pipe.
func (c *Child) ReadNotifications(ready func(), served func(responses, failed int)) error {
	defer c.Discard()
	return readNotifications(c.read, ready, served)
}

func readNotifications(r io.Reader, ready func(), served func(responses, failed int)) error {
	notifications := bufio.NewScanner(r)
	notifications.Buffer(make([]byte, 0, maxNotificationBytes), maxNotificationBytes)
	for notifications.Scan() {
		fields := strings.Fields(notifications.Text())
		switch {
		case len(fields) == 1 && fields[0] == readyNotification:
			ready()
		case len(fields) == 3 && fields[0] == servedNotification:
			responses, failed, err := parseServed(fields[1], fields[2])
			if err != nil {
				return err
			}
			served(responses, failed)
		default:
			return ErrMalformedNotification
		}
	}
	return notifications.Err()
}

// parseServed parses the two numbers of a "served" notification.
func parseServed(responsesField, failedField string) (responses, failed int, err error) {
	const base, bits = 10, 31
	total, err := strconv.ParseUint(responsesField, base, bits)
	if err != nil {
		return 0, 0, ErrMalformedNotification
	}
	failures, err := strconv.ParseUint(failedField, base, bits)
	if err != nil || failures > total {
		return 0, 0, ErrMalformedNotification
	}
	return int(total), int(failures), nil
}

// ListenFile opens a listening TCP socket for processes to inherit. The returned file always stays in blocking mode: a change of
// the mode would affect all processes that have inherited the socket.
func ListenFile(addr string) (*os.File, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr) // Listen returns at once, so it needs no cancellation
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // File, called below, returns a duplicate that stays open
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	fd, err := syscall.Dup(int(file.Fd())) // Fd sets blocking mode, which disturbs no process: none shares the socket yet
	if err != nil {
		return nil, fmt.Errorf("dup: %w", err)
	}
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), addr), nil
}
