// Package overhead measures what a node costs beside nothing at all: the same clients ask a box straight, through a
// program that only copies bytes both ways, and through a node, in turns within one run. Each of the three is a process
// of its own with one processor, so that what it uses can be read off. Ratios to the copying program tell builds and
// machines apart; the figures alone do not.
package overhead

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/olekukonko/tablewriter"
	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/clients"
	"shelfproxy/internal/testbed/nodes"
)

// Options say how it is measured.
type Options struct {
	Self    string // this program, which serves as box and splice too
	Node    string // the node's
	Dir     string
	Clients int
	Rounds  int
	Span    time.Duration // of a way in a round
	Bytes   int           // of a value
}

// Ways are the ways to the box, in their order.
var Ways = [...]string{"straight", "splice", "node"}

// Result is what a way came to, over all rounds.
type Result struct {
	Way      string
	Requests int64
	Elapsed  time.Duration
	CPU      time.Duration // of the process on the way; 0 for straight
	Memory   int64
	Latency  *hdrhistogram.Histogram // microseconds
}

// Rate is in requests a second.
func (r Result) Rate() float64 { return float64(r.Requests) / max(r.Elapsed.Seconds(), 1e-9) }

// PerRequest is the processor time of a request on the way.
func (r Result) PerRequest() time.Duration { return r.CPU / time.Duration(max(r.Requests, 1)) }

// Run measures all ways, in turns.
func Run(ctx context.Context, opt Options) (out []Result, err error) {
	box, splice, node := freeAddr(), freeAddr(), freeAddr()
	config := filepath.Join(opt.Dir, "node.json")
	if err := writeConfig(config, node, box); err != nil {
		return nil, err
	}
	start := func(program, name, addr, config string, args ...string) (*nodes.Process, error) {
		p, err := nodes.Start(program, name, addr, config, args...)
		if err != nil {
			return nil, err
		}
		up, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		if err := p.Ready(up); err != nil {
			p.Stop(time.Second)
			return nil, err
		}
		return p, nil
	}
	procs := make([]*nodes.Process, 3)
	defer func() {
		for _, p := range procs {
			if p != nil {
				p.Stop(10 * time.Second)
			}
		}
	}()
	if procs[0], err = start(opt.Self, "box", box, filepath.Join(opt.Dir, "box.json"), "overhead-box", box, fmt.Sprint(opt.Bytes)); err != nil {
		return nil, err
	}
	if procs[1], err = start(opt.Self, "splice", splice, filepath.Join(opt.Dir, "splice.json"), "overhead-splice", splice, box); err != nil {
		return nil, err
	}
	if procs[2], err = start(opt.Node, "node", node, config); err != nil {
		return nil, err
	}
	out = make([]Result, len(Ways))
	for i := range out {
		out[i] = Result{Way: Ways[i], Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	}
	for round := range opt.Rounds + 1 {
		for i, addr := range []string{box, splice, node} {
			before := procs[i].Usage()
			began := time.Now()
			n, h, err := drive(ctx, addr, opt.Clients, opt.Span, fmt.Sprintf("%d.%d", round, i))
			if err != nil {
				return nil, fmt.Errorf("%s: %w", Ways[i], err)
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			if round == 0 {
				continue // to warm up
			}
			after := procs[i].Usage()
			r := &out[i]
			r.Requests += n
			r.Elapsed += time.Since(began)
			r.Latency.Merge(h)
			if i > 0 {
				r.CPU += after.CPU - before.CPU
				r.Memory = max(r.Memory, after.Memory)
			}
		}
	}
	return out, nil
}

// drive asks in a closed loop: the question is what a request costs, not how a queue grows.
func drive(ctx context.Context, addr string, n int, span time.Duration, tag string) (total int64, all *hdrhistogram.Histogram, err error) {
	all = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(span)
	for w := range n {
		wg.Go(func() {
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			count, failed := int64(0), error(nil)
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				total += count
				all.Merge(h)
				if err == nil {
					err = failed
				}
			}()
			c, dialed := net.Dial("tcp", addr)
			if failed = dialed; failed != nil {
				return
			}
			defer c.Close()
			rd := bufio.NewReader(c)
			var b []byte
			for i := 0; ctx.Err() == nil && time.Now().Before(end); i++ {
				b = redcon.AppendArray(b[:0], 4)
				b = redcon.AppendBulkString(b, "CACHE.GET")
				b = redcon.AppendBulkString(b, fmt.Sprint("k", i%512))
				b = redcon.AppendBulkString(b, fmt.Sprintf("%s-%d-%d", tag, w, i))
				b = redcon.AppendBulkString(b, "c=read,d=5000")
				began := time.Now()
				if _, failed = c.Write(b); failed != nil {
					return
				}
				if failed = readValue(rd); failed != nil {
					return
				}
				h.RecordValue(max(1, time.Since(began).Microseconds()))
				count++
			}
		})
	}
	wg.Wait()
	return total, all, err
}

// readValue reads a bulk string, alone or first in an array of three.
func readValue(rd *bufio.Reader) error {
	line, err := rd.ReadString('\n')
	if err != nil {
		return err
	}
	rest := 0
	if line == "*3\r\n" {
		rest = 2
		if line, err = rd.ReadString('\n'); err != nil {
			return err
		}
	}
	var n int
	if _, err := fmt.Sscanf(line, "$%d", &n); err != nil || n < 0 {
		return fmt.Errorf("answer %q", strings.TrimSpace(line))
	}
	if _, err := rd.Discard(n + 2); err != nil {
		return err
	}
	for range rest { // "hit", and no load report
		line, err := rd.ReadString('\n')
		if err == nil && line[0] == '$' && line != "$-1\r\n" {
			_, err = rd.ReadString('\n')
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Box serves as a box that has every key and answers at once, until the context ends.
func Box(ctx context.Context, addr string, size int) error {
	value := strings.Repeat("x", size)
	hit := fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", size, value)
	return serve(ctx, addr, func(c net.Conn) {
		rd, w := redcon.NewReader(c), bufio.NewWriter(c)
		for {
			cmd, err := rd.ReadCommand()
			if err != nil {
				return
			}
			out := hit
			if string(cmd.Args[0]) == "PING" {
				out = []byte("+PONG\r\n")
			}
			w.Write(out)
			if w.Flush() != nil {
				return
			}
		}
	})
}

// Splice copies bytes between its clients and another address, until the context ends.
func Splice(ctx context.Context, addr, to string) error {
	return serve(ctx, addr, func(c net.Conn) {
		d, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer d.Close()
		go func() {
			copyBytes(d, c)
			d.Close()
		}()
		copyBytes(c, d)
	})
}

// copyBytes copies through a buffer. The kernel's own splice, which io.Copy would use, is no measure for a program that
// reads what it passes on.
func copyBytes(to io.Writer, from io.Reader) {
	io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 16<<10))
}

func serve(ctx context.Context, addr string, handle func(net.Conn)) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go func() {
			defer c.Close()
			handle(c)
		}()
	}
}

// freeAddr is an address that is free now.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// writeConfig tells a node of one box, by the list that it knows from the start.
func writeConfig(path, listen, box string) error {
	type object = map[string]any
	text, err := json.Marshal(object{"name": "overhead", "listen": listen, "discovery": "127.0.0.1:1", "seed": "1",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 4096},
		"known": object{"generation": 1, "reset": true, "instances": []object{{"instanceId": "box", "hostPort": box, "zone": "a",
			"machineType": "box", "cell": 0, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0}}},
		"settings": object{"replicas_of_me": 1, "az": "a", "registry_mode": "automatic", "tick": 5000,
			"machine_types": []string{"box", "origin"}, "family_info": object{"mode": "aside", "origin_kind": 1},
			"lanes":  []object{{"name": "read", "semantics": "idempotent", "worth": 1.0, "goal_time": 2000000, "deadline": 5000000, "late_worth": 0.5}},
			"limits": object{"probes": true, "cancel": true, "max_attempts": 6, "streams_per_conn": 32},
			"rules":  object{"cold_from": 0.13, "warm_after": 23000000, "overload_factor": 3.0}}})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// Write writes a table; ratios are to the splice.
func Write(w io.Writer, rs []Result) {
	t := tablewriter.NewWriter(w)
	t.Header("way", "requests a second", "p50 ms", "p99 ms", "processor a request, us", "memory MB", "rate / splice", "p99 / splice", "processor / splice")
	base := rs[1]
	ratio := func(a, b float64) string {
		if b <= 0 || a <= 0 {
			return "-"
		}
		return fmt.Sprintf("%.2f", a/b)
	}
	for _, r := range rs {
		cpu, memory := "-", "-"
		if r.CPU > 0 {
			cpu, memory = fmt.Sprintf("%.1f", float64(r.PerRequest().Nanoseconds())/1000), fmt.Sprintf("%.1f", float64(r.Memory)/(1<<20))
		}
		t.Append(r.Way, fmt.Sprintf("%.0f", r.Rate()), clients.Millis(r.Latency, 50), clients.Millis(r.Latency, 99), cpu, memory,
			ratio(r.Rate(), base.Rate()), ratio(float64(r.Latency.ValueAtQuantile(99)), float64(base.Latency.ValueAtQuantile(99))),
			ratio(float64(r.PerRequest()), float64(base.PerRequest())))
	}
	t.Render()
}
