package control

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// callTimeout bounds an operator's call: the process answers from its own state and waits for no other.
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds the answer that a client reads.
	maxAnswerBytes = 1 << 20
)

// Query makes a call that changes nothing at the socket at path and returns the answer's JSON. If the process rejects the call
// the error is its message.
func Query(ctx context.Context, path, name string, query url.Values) (string, error) {
	return call(ctx, path, http.MethodGet, name, query)
}

// Command makes a call that changes something. Otherwise it is like Query.
func Command(ctx context.Context, path, name string, query url.Values) (string, error) {
	return call(ctx, path, http.MethodPost, name, query)
}

func call(ctx context.Context, path, method, name string, query url.Values) (string, error) {
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", path)
		},
	}
	client := http.Client{Timeout: callTimeout, Transport: transport}
	request, err := http.NewRequestWithContext(ctx, method, "http://node/"+name+"?"+query.Encode(), nil)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // only read
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		return "", errors.New(strings.TrimSpace(string(answer)))
	}
	return string(answer), err
}
