// Command 2 plays clients that send hundreds of reads at once and read all that they are sent; the node's platform kills a node
// that holds more memory than its limit.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/rig"
)

const (
	memoryMB    = 64  // the node's limit
	sockets     = 384 // the node's limit
	badClients  = 120 // connections of bad clients at once
	atOnce      = 200 // commands that a bad client sends at once
	valueSize   = 64 << 10
	usual       = 8 // usual clients, each with one request at a time
	quietTime   = 3 * time.Second
	playTime    = 15 * time.Second
	serverCount = 3
	serviceTime = 5 * time.Millisecond
	patience    = 6000 // ms
)

var record *rig.Record

func value(id string) string { return "value-of-" + id }

var longValue = strings.Repeat("v", valueSize)

// serveConnection is a sound cache server that holds every key.
func serveConnection(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		args, err := rig.ReadCommand(r)
		if err != nil {
			return
		}
		if args[0] == "PING" {
			conn.Write([]byte("+PONG\r\n"))
			continue
		}
		time.Sleep(serviceTime)
		if strings.HasPrefix(args[1], "long") {
			conn.Write(rig.Hit(longValue))
			continue
		}
		conn.Write(rig.Hit(value(args[2])))
	}
}

var memoryField = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// anonymousMemory returns the node's memory in kB, without the pages of mapped files such as the program itself.
func anonymousMemory(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	match := memoryField.FindSubmatch(status)
	if match == nil {
		return 0
	}
	kB, _ := strconv.Atoi(string(match[1]))
	return kB
}

// watchMemory does what the platform does: it kills the node once its memory is over the limit. It returns the most that the node
// held, in kB.
func watchMemory(node *rig.Node, end time.Time) (peak int, killed bool) {
	for time.Now().Before(end) {
		kB := anonymousMemory(node.Cmd.Process.Pid)
		if kB > peak {
			peak = kB
			record.Add("the node holds %d kB", kB)
		}
		if kB > memoryMB<<10 {
			record.Add("BROKEN: the node holds %d kB, its limit is %d kB: the platform kills it", kB, memoryMB<<10)
			node.Signal(syscall.SIGKILL)
			<-node.Exited
			return peak, true
		}
		select {
		case <-node.Exited:
			record.Add("BROKEN: the node has ended by itself")
			return peak, true
		case <-time.After(10 * time.Millisecond):
		}
	}
	return peak, false
}

// badClient connects, sends hundreds of commands at once, reads all that it is sent, and does the same again.
func badClient(address string, number, answers *atomic.Int64, end time.Time) {
	buffer := make([]byte, 64<<10)
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(8 * time.Second))
		var commands []byte
		for range atOnce {
			n := number.Add(1)
			commands = append(commands, rig.Command("CACHE.GET", fmt.Sprintf("long%d", n%1000), fmt.Sprintf("bad-id%d", n),
				fmt.Sprintf("c=view-logbook,d=%d", patience))...)
		}
		go conn.Write(commands)
		for got := 0; got < atOnce*valueSize; {
			n, err := conn.Read(buffer)
			got += n
			answers.Add(int64(n))
			if err != nil {
				break
			}
		}
		conn.Close()
	}
}

// usualClient sends one request after another on one connection.
func usualClient(c int, address string, end time.Time, served, unanswered *atomic.Int64) {
	var conn net.Conn
	var r *bufio.Reader
	for n := 0; time.Now().Before(end); n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			r = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("u%d-%d", c, n)
		conn.SetDeadline(time.Now().Add(patience * time.Millisecond))
		conn.Write(rig.Command("CACHE.GET", fmt.Sprintf("key%d", rand.IntN(400)), id, fmt.Sprintf("c=view-logbook,d=%d", patience)))
		kind, text, err := rig.ReadReply(r)
		record.Add("usual client: %s answered %c%s %v", id, max(kind, '?'), text, err)
		switch {
		case err != nil:
			unanswered.Add(1)
			conn.Close()
			conn = nil
		case kind == '$' && text == value(id):
			served.Add(1)
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

func main() {
	rig.Watchdog()
	record = rig.NewRecord(os.Args[1])
	rig.OnExit(record.Close)
	list := rig.List{Version: 41, IsFull: true}
	for i := range serverCount {
		server := rig.Listen("127.0.0.1")
		go func() {
			for {
				conn, err := server.Accept()
				if err != nil {
					return
				}
				go serveConnection(conn)
			}
		}()
		list.Instances = append(list.Instances, rig.Instance{ID: fmt.Sprintf("s-%d", i), Address: server.Addr().String(),
			Zone: "room-a", Kind: "standard", Lifecycle: "up", Weight: 1})
	}
	origin := rig.Origin(func(id, _ string, _ bool) string {
		time.Sleep(serviceTime)
		return value(id)
	})
	list.Instances = append(list.Instances, rig.Instance{ID: "o-0", Address: origin, Zone: "room-a", Kind: "origin", Lifecycle: "up", Weight: 1})
	discovery, dir, listen := rig.Discovery(list), rig.TempDir(), rig.FreePort("127.0.0.1")
	config := rig.Config("n0", listen, discovery, fmt.Sprintf("%016x", rand.Uint64()), list, rig.Settings(1))
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	rig.WriteJSON(dir+"/n0.json", config)
	node := rig.StartNode(dir, "n0", dir+"/n0.json")
	rig.AwaitReady(listen)

	var served, unanswered, number, answers atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(quietTime + playTime)
	for c := range usual {
		wait.Go(func() { usualClient(c, listen, end, &served, &unanswered) })
	}
	if rig.Trouble() {
		time.AfterFunc(quietTime, func() {
			record.Add("%d bad clients connect, each sends %d reads of %d bytes at once", badClients, atOnce, valueSize)
			for range badClients {
				go badClient(listen, &number, &answers, end)
			}
		})
	}
	peak, killed := watchMemory(node, end)
	if killed {
		time.Sleep(100 * time.Millisecond) // usual clients see their connections end
	}
	summary := fmt.Sprintf("the node held %d kB at most, of %d; usual clients: %d served, %d without an answer; bad clients sent %d commands and read %d MB",
		peak, memoryMB<<10, served.Load(), unanswered.Load(), number.Load(), answers.Load()>>20)
	record.Add("%s", summary)
	fmt.Println(summary)
	switch {
	case killed:
		rig.Exit(1)
	case served.Load() < 100:
		rig.Unable("the usual clients were hardly served")
	}
	wait.Wait()
	rig.Exit(0)
}
