// Command naive is a node that a test breaks on purpose: it takes whatever box comes first, holds one connection a
// request, and keeps the rules only as far as NAIVE, a word of the environment, lets it.
//
//	keep      keeps them, badly but well enough for a calm day
//	resend    sends what must not run twice a second time when the answer is slow in coming
//	drain     never looks at the list again
//	lose      ends every tenth connection in place of an answer
//	swap      serves every tenth read with the value of the one before it
//	late      answers some requests past their deadline
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
)

type list struct {
	Instances []struct{ InstanceID, HostPort, MachineType, Lifecycle string }
	Reset     bool
	// Generation is the version.
	Generation int64
}

type node struct {
	mode  string
	mu    sync.Mutex
	boxes map[string]string // addresses by id
	order []string
	asked atomic.Int64
	last  string
}

func main() {
	var cfg struct {
		Listen, Discovery string
		Known             list
	}
	text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &cfg)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	n := &node{mode: os.Getenv("NAIVE"), boxes: map[string]string{}}
	n.learn(cfg.Known)
	if n.mode != "drain" {
		go n.watch(cfg.Discovery, cfg.Known.Generation)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.client(c)
		}
	}()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	<-term
	time.Sleep(300 * time.Millisecond)
}

func (n *node) learn(l list) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range l.Instances {
		if _, known := n.boxes[in.InstanceID]; !known {
			n.order = append(n.order, in.InstanceID)
		}
		n.boxes[in.InstanceID] = in.HostPort
		if in.Lifecycle != "up" {
			n.boxes[in.InstanceID] = ""
		}
	}
}

func (n *node) watch(addr string, after int64) {
	resp, err := http.Get(fmt.Sprintf("http://%s/discovery/hosts?watch=1&after=%d", addr, after))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		var l list
		if json.Unmarshal(lines.Bytes(), &l) == nil {
			n.learn(l)
		}
	}
}

func (n *node) client(c net.Conn) {
	defer c.Close()
	rd := redcon.NewReader(c)
	for {
		cmd, err := rd.ReadCommand()
		if err != nil {
			return
		}
		var args []string
		for _, a := range cmd.Args {
			args = append(args, string(a))
		}
		if args[0] == "PING" {
			fmt.Fprint(c, "+PONG\r\n")
			continue
		}
		asked := n.asked.Add(1)
		if n.mode == "lose" && asked%10 == 0 {
			return
		}
		value, ok := n.ask(args)
		if n.mode == "late" && asked%10 == 0 {
			time.Sleep(wait(args) + 150*time.Millisecond)
		}
		if !ok {
			fmt.Fprint(c, "-ERR failed\r\n")
			continue
		}
		if args[0] == "CACHE.GET" {
			n.mu.Lock()
			if n.mode == "swap" && asked%10 == 0 && n.last != "" {
				value = n.last
			}
			n.last = value
			n.mu.Unlock()
		}
		fmt.Fprintf(c, "$%d\r\n%s\r\n", len(value), value)
	}
}

func wait(args []string) time.Duration {
	_, d, _ := strings.Cut(args[3], "d=")
	d, _, _ = strings.Cut(d, ",")
	ms, _ := strconv.Atoi(d)
	return time.Duration(ms) * time.Millisecond
}

func (n *node) ask(args []string) (string, bool) {
	n.mu.Lock()
	box, origin := "", n.boxes["origin"]
	for _, id := range n.order {
		if id != "origin" && n.boxes[id] != "" {
			box = n.boxes[id]
			break
		}
	}
	n.mu.Unlock()
	if args[0] == "CACHE.GET" && box != "" {
		if v, ok := askBox(box, args); ok {
			return v, true
		}
	}
	if n.mode == "resend" && strings.Contains(args[3], "c=issue-cert") {
		go askOrigin(origin, args)
	}
	return askOrigin(origin, args)
}

func askBox(addr string, args []string) (string, bool) {
	c, err := net.DialTimeout("tcp", addr, 250*time.Millisecond)
	if err != nil {
		return "", false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(wait(args) * 3 / 4))
	b := redcon.AppendArray(nil, len(args))
	for _, a := range args {
		b = redcon.AppendBulkString(b, a)
	}
	c.Write(b)
	rd := bufio.NewReader(c)
	if line, err := rd.ReadString('\n'); err != nil || !strings.HasPrefix(line, "*3") {
		return "", false
	}
	line, err := rd.ReadString('\n')
	size, bad := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
	if err != nil || bad != nil || size < 0 {
		return "", false
	}
	v := make([]byte, size)
	_, err = io.ReadFull(rd, v)
	return string(v), err == nil
}

func askOrigin(addr string, args []string) (string, bool) {
	method, body := http.MethodGet, ""
	if len(args) > 4 {
		method, body = http.MethodPut, args[4]
	}
	req, err := http.NewRequest(method, "http://"+addr+"/"+args[1], strings.NewReader(body))
	if err != nil {
		return "", false
	}
	req.Header.Set("X-Request-Id", args[2])
	req.Header.Set("X-Extras", args[3])
	resp, err := (&http.Client{Timeout: wait(args) * 3 / 4, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	v, err := io.ReadAll(resp.Body)
	return string(v), err == nil && resp.StatusCode == http.StatusOK
}
