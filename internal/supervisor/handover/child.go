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

// maxNotificationBytes bounds one notification.
const maxNotificationBytes = 128

// ErrMalformedNotification is returned by ReadNotifications if the process wrote anything but notifications.
var ErrMalformedNotification = errors.New("handover: malformed notification")

// Child is what a process that is about to be started inherits, and the supervisor's end of its pipe.
type Child struct {
	Files []*os.File // the process's descriptors from 3 on
	Env   []string   // to be added to the process's environment
	read  *os.File
}

// NewChild opens the pipe of a process that will inherit listener. The caller calls CloseInherited once the process was started
// or could not be, and then either ReadNotifications or Discard.
func NewChild(listener *os.File) (*Child, error) {
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	return &Child{Files: []*os.File{listener, write}, read: read, Env: []string{
		listenFDsVariable + "=1",
		listenPIDVariable + "=", // unknown before the start
		notifyFDVariable + "=" + strconv.Itoa(notifyFD),
	}}, nil
}

// CloseInherited closes this process's copy of what belongs to the child alone: the pipe ends when the child does.
func (c *Child) CloseInherited() { _ = c.Files[1].Close() } // nothing was written to it here

// Discard closes the pipe without reading it.
func (c *Child) Discard() { _ = c.read.Close() } // only read

// ReadNotifications calls ready and served for each notification until the process ends or writes anything else, in which case
// it returns ErrMalformedNotification. It closes the pipe.
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
	all, err := strconv.ParseUint(responsesField, base, bits)
	if err != nil {
		return 0, 0, ErrMalformedNotification
	}
	part, err := strconv.ParseUint(failedField, base, bits)
	if err != nil || part > all {
		return 0, 0, ErrMalformedNotification
	}
	return int(all), int(part), nil
}

// ListenFile opens a listening TCP socket for processes to inherit. Its descriptor stays in blocking mode for good: the mode
// belongs to the open file, which the processes that serve it share.
func ListenFile(addr string) (*os.File, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr) // returns at once
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // the duplicate stays open
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	fd, err := syscall.Dup(int(file.Fd())) // Fd sets blocking mode, before any process inherits the socket
	if err != nil {
		return nil, fmt.Errorf("dup: %w", err)
	}
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), addr), nil
}
