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
	// callTimeout bounds an operator's call. The called process answers from its own state and does not wait for other nodes.
	callTimeout = 5 * time.Second
	// maxAnswerBytes is the maximum length of the answer that a client reads.
	maxAnswerBytes = 1 << 20
)

// Query makes a read-only call at the control socket at path and returns the JSON of the answer. If the called process rejects the
// call, the text of the error is the message of the answer.
func Query(ctx context.Context, path, name string, query url.Values) (string, error) {
	return call(ctx, path, http.MethodGet, name, query)
}

// Command makes a call that changes the state of the called process. Otherwise it is like Query.
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
	defer func() { _ = response.Body.Close() }() // an error is ignored: the body was only read
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		return "", errors.New(strings.TrimSpace(string(answer)))
	}
	return string(answer), err
}
