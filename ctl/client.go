// Package ctl is the operators' command line.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/currantthread/currantthread/control"
)

// callTimeout is the deadline of one call of the API. Out-commands wait up to three seconds until they are in force.
const callTimeout = 30 * time.Second

// Client calls the operators' API. It tries the addresses in order until one can be connected to.
type Client struct {
	addrs []string
	http  *http.Client
}

// NewClient returns a client for the admin addresses of entry daemons, such as "127.0.0.1:7001".
func NewClient(addrs []string) *Client {
	return &Client{addrs: addrs, http: &http.Client{Timeout: callTimeout}}
}

// Call sends a request and decodes the answer into out. Refusals are *control.APIError.
//
// Only a failure to connect moves on to the next address: a command that may have reached a daemon is not repeated.
func (c *Client) Call(ctx context.Context, method, path string, query url.Values, body, out any) error {
	var err error
	for _, addr := range c.addrs {
		var a answer
		if a, err = c.send(ctx, addr, method, path, query, body); err == nil {
			return a.decode(out)
		}
		if !failedToConnect(err) {
			break
		}
	}
	return errors.Annotate(err, "operators' API")
}

func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// answer is a whole HTTP answer.
type answer struct {
	status int
	body   []byte
}

func (c *Client) send(ctx context.Context, addr, method, path string, query url.Values, body any) (answer, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return answer{}, err
		}
		reader = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: addr, Path: "/api/v1" + path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), reader)
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: data}, err
}

// decode reads the answer into out. A refusal is a *control.APIError.
func (a answer) decode(out any) error {
	if a.status < http.StatusBadRequest {
		return errors.Annotate(json.Unmarshal(a.body, out), "read the answer")
	}
	refusal := &control.APIError{}
	if err := json.Unmarshal(a.body, refusal); err != nil || refusal.Code == "" {
		return fmt.Errorf("status %d: %s", a.status, strings.TrimSpace(string(a.body)))
	}
	return refusal
}
