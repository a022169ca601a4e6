// Package socketstate asks the kernel for the state of a TCP connection, without reading from the connection or blocking.
package socketstate

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IsReadable reports whether a read would return at once: with data, with the end of the connection, or with an error.
func IsReadable(raw syscall.RawConn) bool { return CheckUnread(raw, false) }

// CheckUnread reports the same as IsReadable. If a read would not return at once and shutsDown is true, it closes the sending side of
// the connection with the next system call of the thread.
func CheckUnread(raw syscall.RawConn, shutsDown bool) (isReadable bool) {
	err := raw.Control(func(fd uintptr) {
		isReadable = isReadableNow(int(fd))
		if !isReadable && shutsDown {
			_ = unix.Shutdown(int(fd), unix.SHUT_WR) // fails if the client has reset the connection, which a read shows
		}
	})
	return err != nil || isReadable
}

func isReadableNow(fd int) bool {
	var buffer [1]byte
	for {
		_, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return !errors.Is(err, syscall.EAGAIN)
		}
	}
}

// HasQueued reports whether a socket that listens has connections to accept.
func HasQueued(raw syscall.RawConn) (hasQueued bool) {
	err := raw.Control(func(fd uintptr) {
		poll := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(poll[:], 0)
		hasQueued = n > 0 && pollErr == nil
	})
	return err == nil && hasQueued
}

// Unread returns the number of bytes that have arrived on a connection and are not read; 0 if it is not known.
func Unread(fd uintptr) int {
	unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return unread
}

// Unacked returns the number of bytes that were written to a connection and that the other side's kernel has not taken; 0 if it is not
// known.
func Unacked(fd uintptr) int {
	unacked, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return unacked
}

// Age returns how long ago a connection was established on which nothing was sent yet; 0 if that is not known.
func Age(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_sent) * time.Millisecond
}

// clockTick is the longest tick of the clock with which the kernel records when data arrives on a connection.
const clockTick = 10 * time.Millisecond

// The states of a connection whose other side has closed it, as TCP_INFO numbers them.
const (
	stateTimeWait  = 6
	stateClose     = 7
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

// Received is what the kernel knows of the receiving side of a connection.
type Received struct {
	// SinceData is how long ago the last bytes arrived, whether they have been read or not; 0 if that is not known or not longer than
	// clockTick. Bytes that have been read may have arrived earlier than the last ones.
	SinceData time.Duration
	// HasPeerClosed is set once the other side has closed the connection, whether or not unread bytes are left.
	HasPeerClosed bool
}

// ReceivedOn returns what the kernel knows of a connection; the zero value if it does not tell.
func ReceivedOn(fd uintptr) (received Received) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return received
	}
	switch info.State {
	case stateTimeWait, stateClose, stateCloseWait, stateLastAck, stateClosing:
		received.HasPeerClosed = true
	}
	if since := time.Duration(info.Last_data_recv) * time.Millisecond; since > clockTick {
		received.SinceData = since
	}
	return received
}
