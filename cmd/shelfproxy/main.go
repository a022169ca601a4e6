// Command shelfproxy is one node between clients, cache servers and an origin. See the README.
package main

import (
	"flag"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"shelfproxy/internal/config"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/forward"
	"shelfproxy/internal/listener"
	"shelfproxy/internal/node"
	"shelfproxy/internal/origin"
	"shelfproxy/internal/target"
)

func main() {
	check := flag.Bool("check", false, "read the configuration, say whether it is good, and end")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: LB_CONFIG=FILE shelfproxy [-check]")
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := run(*check); err != nil {
		fmt.Fprintln(os.Stderr, "shelfproxy:", err)
		os.Exit(1)
	}
}

// After SIGTERM clients go on for a moment: new connections keep coming for up to 0.4 s. The kill comes no
// sooner than the longest deadline (3 s where it is longer) and 0.7 s after it.
const (
	grace       = 600 * time.Millisecond
	longest     = 3 * time.Second
	killReserve = 300 * time.Millisecond // before longest + 0.7 s
)

func run(check bool) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("configuration is good")
		return nil
	}
	// From here on, as a signal that is not caught ends the program. One of a kind that waits is enough: it is
	// looked at after the others came.
	hup, term, usr := catch(syscall.SIGHUP), catch(syscall.SIGTERM, syscall.SIGINT), catch(syscall.SIGUSR1)
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	// The collector keeps well under the limit on memory, past which the node is killed.
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 6 / 10)

	classes := make([]string, len(cfg.Module.Classes))
	for i, c := range cfg.Module.Classes {
		classes[i] = c.Name
	}
	ends := make([]string, forward.Ends())
	for i := range ends {
		ends[i] = forward.End(i).String()
	}
	count := counters.New(classes, []string{"served", "refused", "failed", "invalid"}, ends)

	// Descriptors: a part is for discovery, the log and the runtime, the rest is divided.
	sockets := cfg.Sockets - 32
	targets, clients, origins := forward.NewBudget(sockets*3/10), sockets/2, sockets/10
	limits := forward.Limits{Connect: cfg.Node.ConnectTimeout, Idle: cfg.Node.ConnIdle * 8 / 10,
		Streams: cfg.Node.Streams, Conns: 64, Waiting: 512}
	originLimits := limits
	originLimits.Streams, originLimits.Conns = 1, origins

	n, err := node.New(node.Options{Module: cfg.Module, Seed: cfg.Seed, MaxOpen: cfg.Node.MaxOpen, MaxWait: cfg.Node.LongestWait,
		Known: cfg.Known, Source: &discovery.Client{Addr: cfg.Discovery}, Count: count, Log: os.Stderr,
		Upstream: func(s discovery.Server, isOrigin bool, report func(*forward.Forward, forward.Answer)) node.Upstream {
			if isOrigin {
				return forward.NewPool(s.Addr, origin.Codec{Host: s.Addr}, originLimits,
					forward.NewBudget(origins), report, func() { count.OriginOpened.Add(1) })
			}
			return forward.NewPool(s.Addr, target.Codec{}, limits, targets, report, func() { count.Opened.Add(1) })
		}})
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	l := listener.New(ln, n, classes, listener.Limits{Conns: clients, Pipelined: 128, Value: 64 << 10,
		Write: 10 * time.Second}, count)

	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		n.Run(stop)
		close(ended)
	}()
	go l.Serve()

	var over <-chan struct{} // once SIGTERM came; reloads go on until then
	for {
		select {
		case <-hup:
			cfg = reload(cfg, n, count)
		case <-usr:
			fmt.Fprint(os.Stderr, count)
		case <-term:
			if over == nil {
				over = shutDown(cfg.Node.LongestWait, n, l)
			}
		case <-over:
			close(stop)
			<-ended
			fmt.Fprint(os.Stderr, count)
			return nil
		}
	}
}

func catch(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// reload takes over what a new configuration changes and returns the one that runs from now on. Only discovery can
// move while the node runs; a configuration with an error changes nothing.
func reload(running *config.Config, n *node.Node, count *counters.Counters) *config.Config {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		count.ReloadsBad.Add(1)
		n.Logf("reload: the running configuration stays: %v", err)
		return running
	}
	count.Reloads.Add(1)
	for _, field := range running.Fixed(cfg) {
		n.Logf("reload: %s changed; it takes effect at the next start", field)
	}
	kept := *running
	if kept.Discovery != cfg.Discovery {
		n.Logf("reload: discovery moves from %s to %s", kept.Discovery, cfg.Discovery)
		n.Follow(&discovery.Client{Addr: cfg.Discovery})
		kept.Discovery = cfg.Discovery
	}
	return &kept
}

// shutDown ends the service after a moment of grace. The channel is closed when all that is owed is answered, or
// when there is no more time for it.
func shutDown(wait time.Duration, n *node.Node, l *listener.Listener) <-chan struct{} {
	over := make(chan struct{})
	last := time.Now().Add(min(wait, longest) + 700*time.Millisecond - killReserve)
	go func() {
		defer close(over)
		time.Sleep(grace)
		l.Close()
		answered := make(chan struct{})
		go func() {
			<-n.Drain(last)
			l.Wait()
			close(answered)
		}()
		select {
		case <-answered:
		case <-time.After(time.Until(last) + killReserve*2/3):
		}
	}()
	return over
}
