package daemon

import (
	"time"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/pause"
)

// flushTimeout is how long the process waits for clients to receive their answers, counted from the deadline by which the node
// gives all answers.
const flushTimeout = 200 * time.Millisecond

// beginShutdown begins the graceful shutdown, unless it has begun before. It tells the other nodes that this node shuts down, and
// releases the leases. After the grace period the node drains. The event loop continues until the shutdown is complete. The
// message and the event name the cause in the log.
func (d *Daemon) beginShutdown(message, event string) {
	if d.shutdownOver != nil {
		return
	}
	d.log.Info(message, logs.Event, event)
	d.fleet.announceShutdown()
	if d.parent.Listener != nil { // a successor may wait for the address of the socket
		d.fleet.releaseSocket()
	}
	d.shutdownOver = d.drain()
}

// drain lets the node serve for the grace period, during which clients that do not know of the shutdown yet still connect. Then it
// closes the listener and answers the requests that were accepted. drain returns at once; the channel that it returns is closed
// when all requests are answered or the time for answering them is over.
func (d *Daemon) drain() <-chan struct{} {
	grace, total := d.cfg.ShutdownTimes()
	deadline := time.Now().Add(total)
	over := make(chan struct{})
	go func() { // the event loop waits for this goroutine
		defer close(over)
		time.Sleep(grace)
		d.listener.Close()
		awaitAcrossPauses(d.answerAll(deadline), deadline.Add(flushTimeout), flushTimeout)
	}()
	return over
}

// awaitAcrossPauses waits until done is closed, or until a time. If the process did not run at that time, it waits for least longer:
// what is due needs the process to run.
func awaitAcrossPauses(done <-chan struct{}, until time.Time, least time.Duration) {
	if earliest := time.Now().Add(least); until.Before(earliest) {
		until = earliest
	}
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Until(until)):
		}
		now := time.Now()
		if !pause.IsShown(until, now) {
			return
		}
		until = now.Add(least)
	}
}

// answerAll starts to answer, by the deadline, the requests that the node has accepted. The channel that it returns is closed once
// all clients have received their answers. A client that does not read may keep the channel open until the process ends.
func (d *Daemon) answerAll(deadline time.Time) <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		<-d.node.Drain(deadline)
		d.listener.Wait()
		close(answered)
	}()
	return answered
}

// stop ends the node and its agents after the shutdown and logs the final values of the counters.
func (d *Daemon) stop() {
	close(d.stopNode)
	<-d.nodeEnded
	d.logCounters()
	d.agents.Wait()
}
