// Package handover is what passes between a supervisor and a process that it started: a listening socket that outlives processes,
// given by the protocol of systemd's socket activation (sd_listen_fds(3)), and a pipe on which the process says how it is. It decides
// nothing.
package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The variables by which a process learns what it inherits. The first two are systemd's.
const (
	fdsVariable    = "LISTEN_FDS"
	pidVariable    = "LISTEN_PID"
	notifyVariable = "SHELFPROXY_NOTIFY_FD"

	firstFD = 3
)

// ReplacedSignal is the signal that tells a process to end as another one accepts connections at its socket from now on.
const ReplacedSignal = syscall.SIGUSR2

// Parent is what a process has of the one that started it.
type Parent struct {
	Listener net.Listener // nil: none is inherited
	notify   *os.File
}

// Inherit takes what this process was given, and sees that no process started by it takes it for its own. Without anything it
// returns a Parent with nothing.
func Inherit() (*Parent, error) {
	p := &Parent{}
	fds, pid, notify := os.Getenv(fdsVariable), os.Getenv(pidVariable), os.Getenv(notifyVariable)
	for _, v := range []string{fdsVariable, pidVariable, notifyVariable} {
		os.Unsetenv(v)
	}
	if notify != "" {
		fd, err := strconv.Atoi(notify)
		if err != nil || fd < firstFD {
			return nil, fmt.Errorf("%s: %q is no descriptor", notifyVariable, notify)
		}
		syscall.CloseOnExec(fd)
		if err := syscall.SetNonblock(fd, true); err != nil { // a supervisor that hangs must not hold up this process
			return nil, fmt.Errorf("%s: %w", notifyVariable, err)
		}
		p.notify = os.NewFile(uintptr(fd), "notify")
	}
	if fds == "" || pid != "" && pid != strconv.Itoa(os.Getpid()) {
		return p, nil
	}
	if n, err := strconv.Atoi(fds); err != nil || n != 1 {
		return nil, fmt.Errorf("%s: %q, want one socket", fdsVariable, fds)
	}
	f := os.NewFile(firstFD, "listen")
	defer f.Close()
	var err error
	if p.Listener, err = net.FileListener(f); err != nil {
		return nil, fmt.Errorf("%s: %w", fdsVariable, err)
	}
	return p, nil
}

// ReportReady says that this process serves.
func (p *Parent) ReportReady() error { return p.say("ready") }

// ReportResponses says how many answers this process gave since it last said so, and how many of them failed.
func (p *Parent) ReportResponses(answers, failed int) error {
	return p.say("served " + strconv.Itoa(answers) + " " + strconv.Itoa(failed))
}

// IsSupervised tells whether somebody listens to what this process says.
func (p *Parent) IsSupervised() bool { return p.notify != nil }

// say writes a line, which goes into a pipe in one piece or not at all: one for which there is no room is lost. Its error says
// that the supervisor is gone.
func (p *Parent) say(line string) error {
	if p.notify == nil {
		return nil
	}
	p.notify.SetWriteDeadline(time.Now().Add(patience))
	_, err := p.notify.WriteString(line + "\n")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

const patience = 2 * time.Millisecond

// Child is the supervisor's part: what a process that is about to be started inherits.
type Child struct {
	Files []*os.File // from descriptor 3 on
	Env   []string
	read  *os.File
}

// NewChild makes it. Close it once the process runs.
func NewChild(listen *os.File) (*Child, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	return &Child{Files: []*os.File{listen, w}, read: r,
		Env: []string{fdsVariable + "=1", pidVariable + "=", notifyVariable + "=" + strconv.Itoa(firstFD+1)}}, nil
}

// CloseInherited closes what is the process's alone.
func (c *Child) CloseInherited() { c.Files[1].Close() }

// Discard closes what Listen would read.
func (c *Child) Discard() { c.read.Close() }

// longestLine bounds what a process may say at once.
const longestLine = 128

// ErrMalformedNotification says that a process said what means nothing.
var ErrMalformedNotification = errors.New("handover: no word of a process")

// ReadNotifications hands over what the process says, until it ends or makes no sense.
func (c *Child) ReadNotifications(ready func(), served func(answers, failed int)) error {
	defer c.Discard()
	return listen(c.read, ready, served)
}

func listen(r io.Reader, ready func(), served func(answers, failed int)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, longestLine), longestLine)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		switch {
		case len(words) == 1 && words[0] == "ready":
			ready()
		case len(words) == 3 && words[0] == "served":
			answers, err := strconv.ParseUint(words[1], 10, 31)
			failed, err2 := strconv.ParseUint(words[2], 10, 31)
			if err != nil || err2 != nil || failed > answers {
				return ErrMalformedNotification
			}
			served(int(answers), int(failed))
		default:
			return ErrMalformedNotification
		}
	}
	return lines.Err()
}

// ListenFile opens a listening socket that processes inherit. It is left as a file that is never switched between waiting and not
// waiting: processes that serve share that setting with it.
func ListenFile(addr string) (*os.File, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd())) // which has it wait, before anybody else has it
	if err != nil {
		return nil, fmt.Errorf("dup: %w", err)
	}
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), addr), nil
}
