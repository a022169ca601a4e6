package overhead

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shelfproxy/internal/testbed/respcmd"
)

const (
	keys              = 512 // number of keys that each client requests one after another, in a cycle
	maxLatency        = time.Minute
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// client sends requests over one connection, one at a time.
type client struct {
	id       string // prefix of the request ids
	requests int64
	latency  *hdrhistogram.Histogram
}

// sendRequests sends requests from several clients in a closed loop, because it measures the cost of a request and not the
// growth of a queue. It returns the number of requests and their latencies.
func sendRequests(ctx context.Context, address string, clients int, span time.Duration, tag string) (int64, *hdrhistogram.Histogram, error) {
	var mu sync.Mutex
	var running sync.WaitGroup
	var firstErr error
	requests, latency := int64(0), newHistogram()
	end := time.Now().Add(span)
	for number := range clients {
		running.Go(func() {
			c := client{id: fmt.Sprintf("%s-%d", tag, number), latency: newHistogram()}
			err := c.run(ctx, address, end)
			mu.Lock()
			defer mu.Unlock()
			requests += c.requests
			latency.Merge(c.latency)
			if firstErr == nil {
				firstErr = err
			}
		})
	}
	running.Wait()
	return requests, latency, firstErr
}

// run sends requests until the time given by end, or until the context ends.
func (c *client) run(ctx context.Context, address string, end time.Time) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var command []byte
	for number := 0; ctx.Err() == nil && time.Now().Before(end); number++ {
		command = respcmd.Append(command[:0], "CACHE.GET", fmt.Sprint("k", number%keys), fmt.Sprintf("%s-%d", c.id, number), "c=read,d=5000")
		sentAt := time.Now()
		if _, err := conn.Write(command); err != nil {
			return err
		}
		if err := readValue(reader); err != nil {
			return err
		}
		if err := c.latency.RecordValue(max(1, time.Since(sentAt).Microseconds())); err != nil {
			return err
		}
		c.requests++
	}
	return nil
}

// readValue reads a value. A node answers with the value alone, and a cache server with an array of three elements that starts
// with the value.
func readValue(reader *bufio.Reader) error {
	header, err := reader.ReadString('\n')
	if err != nil {
		return err
	}
	moreElements := 0
	if header == "*3\r\n" {
		moreElements = 2 // besides the value, the array holds "hit" and a nil load report
		if header, err = reader.ReadString('\n'); err != nil {
			return err
		}
	}
	var size int
	if _, err := fmt.Sscanf(header, "$%d", &size); err != nil || size < 0 {
		return fmt.Errorf("unexpected answer %q", strings.TrimSpace(header))
	}
	if _, err := reader.Discard(size + len("\r\n")); err != nil {
		return err
	}
	for range moreElements {
		if err := skipElement(reader); err != nil {
			return err
		}
	}
	return nil
}

// skipElement reads and drops a nil, or a bulk string that is one line long.
func skipElement(reader *bufio.Reader) error {
	header, err := reader.ReadString('\n')
	if err == nil && header[0] == '$' && header != "$-1\r\n" {
		_, err = reader.ReadString('\n')
	}
	return err
}
