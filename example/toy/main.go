// Command toy plays what a node talks to, so that one can be tried by hand: two cache servers that keep what they
// are given, an origin that knows every key, and discovery. Everything listens on 127.0.0.1.
package main

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

const (
	originAddr    = "127.0.0.1:8600"
	discoveryAddr = "127.0.0.1:8500"
)

var targetAddrs = []string{"127.0.0.1:6381", "127.0.0.1:6382"}

// store is a map that all may use.
type store struct {
	mu     sync.Mutex
	values map[string]string
}

func (s *store) get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok
}

func (s *store) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = value
}

func main() {
	records, cache := &store{values: map[string]string{}}, &store{values: map[string]string{}}
	for _, addr := range targetAddrs {
		go func() { log.Fatal(redcon.ListenAndServe(addr, serve(addr, cache), nil, nil)) }()
	}
	go func() { log.Fatal(http.ListenAndServe(originAddr, origin(records, cache))) }()
	fmt.Println("toy cache servers, origin and discovery are up")
	log.Fatal(http.ListenAndServe(discoveryAddr, http.HandlerFunc(discovery)))
}

// serve answers as a cache server.
func serve(addr string, cache *store) func(redcon.Conn, redcon.Command) {
	return func(c redcon.Conn, cmd redcon.Command) {
		switch name := string(cmd.Args[0]); {
		case name == "PING":
			c.WriteString("PONG")
		case name == "CACHE.GET" && len(cmd.Args) == 4:
			v, ok := cache.get(string(cmd.Args[1]))
			fmt.Printf("%s: %s %s: hit %v\n", addr, name, cmd.Args[1], ok)
			c.WriteArray(3)
			if ok {
				c.WriteBulkString(v)
				c.WriteBulkString("hit")
			} else {
				c.WriteNull()
				c.WriteBulkString("miss")
			}
			c.WriteNull()
		default:
			c.WriteError("ERR unknown command")
		}
	}
}

// origin answers as the central records database; what it answers is stored at the cache servers.
func origin(records, cache *store) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond) // it is slow
		fmt.Printf("origin: %s %s\n", r.Method, r.URL.Path)
		key := r.URL.Path[1:]
		if r.Method == http.MethodPut {
			body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
			records.set(key, string(body))
			cache.set(key, string(body))
			fmt.Fprint(w, "receipt for ", key)
			return
		}
		v, ok := records.get(key)
		if !ok {
			v = "logbook of " + key
		}
		cache.set(key, v)
		fmt.Fprint(w, v)
	}
}

// discovery answers a watch with the whole list and an empty line every two seconds.
func discovery(w http.ResponseWriter, r *http.Request) {
	entry := func(id, addr, kind string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"room-a","machineType":%q,"cell":0,`+
			`"lifecycle":"up","weight":1.0,"startedAtMs":0}`, id, addr, kind)
	}
	list := entry("origin", originAddr, "origin")
	for i, addr := range targetAddrs {
		list += "," + entry(fmt.Sprint("box-", i), addr, "standard")
	}
	fmt.Fprintf(w, `{"generation":1,"reset":true,"instances":[%s]}`+"\n", list)
	for r.URL.Query().Has("watch") {
		w.(http.Flusher).Flush()
		select {
		case <-time.After(2 * time.Second):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}
