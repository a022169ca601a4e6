package respcmd

import (
	"bufio"
	"net"
	"testing"
)

func TestCommandsAreAnsweredInOrderUntilTheHandlerEnds(t *testing.T) {
	client, server := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		Serve(server, func(args []string) (string, bool) {
			return "+" + args[1] + "\r\n", args[0] != "END"
		})
	}()
	var commands []byte
	commands = Append(commands, "SAY", "first")
	commands = Append(commands, "PING")
	commands = Append(commands, "END", "unseen")
	go func() {
		if _, err := client.Write(commands); err != nil {
			t.Errorf("write the commands: %v", err)
		}
	}()
	reader := bufio.NewReader(client)
	for _, want := range []string{"+first\r\n", "+PONG\r\n"} {
		if got, err := reader.ReadString('\n'); err != nil || got != want {
			t.Errorf("reply %q, %v; want %q", got, err, want)
		}
	}
	<-served
	if reply, err := reader.ReadString('\n'); err == nil {
		t.Errorf("reply %q after the handler has ended the connection", reply)
	}
}
