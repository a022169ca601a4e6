package socketstate

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// TestSinceData: the time since the last bytes came runs whether or not they are read.
func TestSinceData(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	raw, err := server.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const rest = 300 * time.Millisecond
	for _, readsBefore := range []bool{false, true} {
		sentFrom := time.Now()
		if _, err := client.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		sentBy := time.Now()
		if readsBefore {
			readByte(t, server)
		}
		time.Sleep(rest)
		if !readsBefore {
			readByte(t, server)
		}
		least := time.Since(sentBy)
		var since time.Duration
		if err := raw.Control(func(fd uintptr) { since = SinceData(fd) }); err != nil {
			t.Fatal(err)
		}
		if most := time.Since(sentFrom); since < least-clockTick || since > most+clockTick {
			t.Errorf("read before the rest %v: got %v, want %v to %v", readsBefore, since, least, most)
		}
	}
}

func readByte(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}
