package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

// BenchmarkEmulator measures the cost of the emulator itself. It reads cached keys from 20 cache servers over 64
// connections, through sockets, the model and the invariants. The processor time includes both sides of the sockets.
func BenchmarkEmulator(b *testing.B) {
	const cacheServers, connections = 20, 64
	text := strings.Replace(fastScenario, "count = 2", fmt.Sprint("count = ", cacheServers), 1)
	text = strings.ReplaceAll(strings.ReplaceAll(text, "100us", "1us"), `work = "2ms"`, `work = "1us"`)
	emulator := startEmulator(b, text)
	var list endpointList
	var err error
	emulator.Do(func(_ time.Duration, system *model.System, _ *invariants.Checker) {
		err = json.Unmarshal(emulator.encodeList(system.List(), 0), &list)
	})
	if err != nil {
		b.Fatal(err)
	}
	var lastWorker atomic.Int64
	start := processorTime(b)
	b.SetParallelism(connections / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		worker := lastWorker.Add(1)
		dialer := net.Dialer{}
		conn, err := dialer.DialContext(b.Context(), "tcp", list.Endpoints[1+worker%cacheServers].Address)
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = conn.Close() }() // the benchmark is over
		cache := &client{Conn: conn, t: b, reader: bufio.NewReader(conn)}
		for i := 0; pb.Next(); i++ {
			cache.send("CACHE.GET", "k", fmt.Sprint(worker, "-", i), "c=read,d=2900")
			if got := cache.readLines(5); strings.HasSuffix(got, "closed") {
				b.Error(got)
				return
			}
		}
	})
	b.ReportMetric(float64((processorTime(b)-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
