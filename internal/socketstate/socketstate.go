// Package socketstate asks the kernel about a TCP connection, without reading from it or waiting.
package socketstate

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IsReadable reports whether a read would return at once: with bytes that came, with the end of the connection, or with an error.
func IsReadable(raw syscall.RawConn) bool {
	var peekErr error
	err := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		for {
			_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(peekErr, syscall.EINTR) {
				return
			}
		}
	})
	return err != nil || !errors.Is(peekErr, syscall.EAGAIN)
}

// clockTick is the longest step of the clock that the kernel stamps connections with.
const clockTick = 10 * time.Millisecond

// SinceData returns how long ago the last bytes came on a connection, read or not; 0 if that is within a step of the kernel's clock,
// or not known. Bytes that are read may have come earlier than the last ones.
func SinceData(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	if since := time.Duration(info.Last_data_recv) * time.Millisecond; since > clockTick {
		return since
	}
	return 0
}
