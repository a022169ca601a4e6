package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"shelfproxy/internal/supervisor/handover"
)

// signals holds a channel for each kind of signal that a node handles.
type signals struct {
	reload      <-chan os.Signal
	terminate   <-chan os.Signal
	logCounters <-chan os.Signal
	replaced    <-chan os.Signal // signal that a successor of this process now serves the same socket
}

func registerSignals() signals {
	return signals{
		reload:      notify(syscall.SIGHUP),
		terminate:   notify(syscall.SIGTERM, syscall.SIGINT),
		logCounters: notify(syscall.SIGUSR1),
		replaced:    notify(handover.ReplacedSignal),
	}
}

// notify returns a channel that receives the given signals. A signal that arrives while another one is pending on the channel is
// dropped, as the pending one has the same effect.
func notify(sigs ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, sigs...)
	return received
}
