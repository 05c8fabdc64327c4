// Package ctl implements currantctl, the operators' command line, and a client of the operators' API.
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

// callTimeout is the deadline of one API call. It must cover out-commands, which take up to three seconds to become active.
const callTimeout = 30 * time.Second

// Client calls the operators' API. It tries its addresses in order until it can connect to one.
type Client struct {
	addrs []string
	http  *http.Client
}

// NewClient returns a client for the admin addresses of entry daemons, such as "127.0.0.1:7001".
func NewClient(addrs []string) *Client {
	return &Client{addrs: addrs, http: &http.Client{Timeout: callTimeout}}
}

// Call sends a request and decodes the response into out. Error responses are returned as *control.APIError.
//
// Call tries the next address only if it cannot connect. A command that may have reached a daemon is not repeated.
func (c *Client) Call(ctx context.Context, method, path string, query url.Values, body, out any) error {
	var err error
	for _, addr := range c.addrs {
		var r apiResponse
		if r, err = c.send(ctx, addr, method, path, query, body); err == nil {
			return r.decode(out)
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

// apiResponse is a complete HTTP response.
type apiResponse struct {
	status int
	body   []byte
}

func (c *Client) send(ctx context.Context, addr, method, path string, query url.Values, body any) (apiResponse, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return apiResponse{}, err
		}
		reader = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: addr, Path: "/api/v1" + path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), reader)
	if err != nil {
		return apiResponse{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(req)
	if err != nil {
		return apiResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return apiResponse{status: response.StatusCode, body: data}, err
}

// decode decodes a successful response into out and returns an error response as *control.APIError.
func (r apiResponse) decode(out any) error {
	if r.status < http.StatusBadRequest {
		return errors.Annotate(json.Unmarshal(r.body, out), "read the answer")
	}
	refusal := &control.APIError{}
	if err := json.Unmarshal(r.body, refusal); err != nil || refusal.Code == "" {
		return fmt.Errorf("status %d: %s", r.status, strings.TrimSpace(string(r.body)))
	}
	return refusal
}
