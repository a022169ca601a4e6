// Package socketstate asks the kernel about a TCP connection, without reading from it or waiting.
package socketstate

import (
	"errors"
	"syscall"
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
