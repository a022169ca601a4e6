package daemon

import (
	"time"

	"shelfproxy/internal/logs"
)

// flushTimeout bounds how long after the deadline of all answers clients may take to receive them.
const flushTimeout = 200 * time.Millisecond

// beginShutdown begins the graceful shutdown, unless it has begun before: the fleet is told, leases are released, and after the
// grace period the node drains. Until it is over the event loop goes on. The message and the event name the cause in the log.
func (d *Daemon) beginShutdown(message, event string) {
	if d.shutdownOver != nil {
		return
	}
	d.log.Info(message, logs.Event, event)
	d.fleet.announceShutdown()
	if d.parent.Listener != nil { // a successor waits for the address
		d.fleet.releaseSocket()
	}
	d.shutdownOver = d.drain()
}

// drain lets the node serve on for the grace period, in which clients that have not heard of the shutdown still come, then closes
// the listener and answers what was accepted. The channel is closed when all is answered, or when the time for it is over.
func (d *Daemon) drain() <-chan struct{} {
	grace, total := d.cfg.ShutdownTimes()
	deadline := time.Now().Add(total)
	over := make(chan struct{})
	go func() { // the event loop waits for its end
		defer close(over)
		time.Sleep(grace)
		d.listener.Close()
		select {
		case <-d.answerAll(deadline):
		case <-time.After(time.Until(deadline) + flushTimeout):
		}
	}()
	return over
}

// answerAll answers what the node has accepted by a deadline. The channel is closed once the last client has its answers. A client
// that does not read may keep it open, until the process ends.
func (d *Daemon) answerAll(deadline time.Time) <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		<-d.node.Drain(deadline)
		d.listener.Wait()
		close(answered)
	}()
	return answered
}

// stop ends the node and its agents after the shutdown and logs the last counters.
func (d *Daemon) stop() {
	close(d.stopNode)
	<-d.nodeEnded
	d.logCounters()
	d.agents.Wait()
}
