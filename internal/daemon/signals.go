package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"shelfproxy/internal/supervisor/handover"
)

// signals are the signals that a node handles, each on a channel of its own.
type signals struct {
	reload      <-chan os.Signal
	terminate   <-chan os.Signal
	logCounters <-chan os.Signal
	replaced    <-chan os.Signal // by a successor that serves at the same socket
}

func registerSignals() signals {
	return signals{
		reload:      notify(syscall.SIGHUP),
		terminate:   notify(syscall.SIGTERM, syscall.SIGINT),
		logCounters: notify(syscall.SIGUSR1),
		replaced:    notify(handover.ReplacedSignal),
	}
}

// notify registers signals. One that arrives while another of its channel waits is merged with it.
func notify(sigs ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, sigs...)
	return received
}
