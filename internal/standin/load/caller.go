package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/verdict"
)

const (
	// callerDeadline is the deadline sent with each request. clientTimeout bounds the wait of the caller.
	callerDeadline = 5 * time.Second
	clientTimeout  = 10 * time.Second
	// avoidTime is how long callers avoid an entry VM after a failed connection attempt, like a load balancer.
	avoidTime = time.Second
)

// Sizes of the large requests.
const (
	largeBody     = 1 << 20
	largeResponse = 8 << 20
)

// target is an entry VM as used by callers.
type target struct {
	base string

	mu         sync.Mutex // guards the fields below
	avoidUntil time.Time
}

func (t *target) usable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().After(t.avoidUntil)
}

func (t *target) markFailed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil = time.Now().Add(avoidTime)
}

// caller sends operations one after another. It is used by a single goroutine.
type caller struct {
	id      string
	rng     *rand.Rand
	client  *http.Client
	targets []*target
	// reservationPath is the path of the service's non-idempotent request.
	reservationPath string
	lastToken       int
	operations      []Operation
	// recordLatency records the latency of each successful response.
	recordLatency func(time.Duration)
}

func newClient(callers int) *http.Client {
	return &http.Client{
		Timeout: clientTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: callers,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run sends operations until ctx ends, with pauses whose mean is think.
func (c *caller) run(ctx context.Context, think time.Duration) {
	for ctx.Err() == nil {
		c.sendRandom()
		timer := time.NewTimer(time.Duration(c.rng.ExpFloat64() * float64(think)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sendRandom sends one operation of a mix: mostly availability checks, then reservations with and without a key, and requests
// whose response or body has up to 64 KiB.
func (c *caller) sendRandom() {
	switch p := c.rng.IntN(100); {
	case p < 60:
		c.availability()
	case p < 80:
		c.reservation()
	case p < 90:
		c.keyedReservation()
	case p < 97:
		c.work(c.rng.IntN(64 << 10))
	default:
		c.echo(c.rng.IntN(64 << 10))
	}
}

// nextToken returns a token that is unique across callers and runs.
func (c *caller) nextToken() string {
	c.lastToken++
	return c.id + "-" + strconv.Itoa(c.lastToken)
}

func (c *caller) record(op Operation) { c.operations = append(c.operations, op) }

func (c *caller) availability() {
	token := c.nextToken()
	sends := c.sendIdempotent(request{method: http.MethodGet, path: "/availability?place=p1&date=2027-03-07&token=" + token},
		func(body io.Reader) (string, string) {
			var got standin.Availability
			if err := json.NewDecoder(body).Decode(&got); err != nil || got.Token != token || !got.Free {
				return "", fmt.Sprintf("availability answer is %+v: %v", got, err)
			}
			return "", ""
		})
	c.record(Operation{Token: token, Kind: "availability", Idempotent: true, Sends: sends})
}

func (c *caller) reservation() {
	token := c.nextToken()
	send := c.send(c.reservationRequest(token, ""), checkReservation(token))
	c.record(Operation{Token: token, Kind: "reservation", Sends: []Send{send}})
}

// keyedReservation sends a request with a key twice, each through a random entry VM.
func (c *caller) keyedReservation() {
	token := c.nextToken()
	req := c.reservationRequest(token, "key-"+token)
	first := c.send(req, checkReservation(token))
	second := c.send(req, checkReservation(token))
	c.record(Operation{Token: token, Kind: "keyed reservation", Sends: []Send{first, second}})
}

// concurrentReservation sends a request with a key twice at the same time, each through a random entry VM.
func (c *caller) concurrentReservation() {
	token := c.nextToken()
	req := c.reservationRequest(token, "key-"+token)
	targets := []*target{c.pick(), c.pick()}
	sends := make([]Send, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		group.Go(func() { sends[i] = c.sendTo(target, req, checkReservation(token)) })
	}
	group.Wait()
	c.record(Operation{Token: token, Kind: "concurrent keyed reservation", Sends: sends})
}

func (c *caller) reservationRequest(token, key string) request {
	return request{
		method: http.MethodPost, path: c.reservationPath + "?token=" + token, key: key,
		body: []byte(`{"place":"p1","date":"2027-03-07","party":"` + token + `"}`),
	}
}

func checkReservation(token string) checkFunc {
	return func(body io.Reader) (string, string) {
		var got standin.Reservation
		if err := json.NewDecoder(body).Decode(&got); err != nil || got.Token != token || got.Number == "" {
			return "", fmt.Sprintf("reservation answer is %+v: %v", got, err)
		}
		return got.Number, ""
	}
}

func (c *caller) work(size int) {
	token := c.nextToken()
	path := fmt.Sprintf("/work?token=%s&bytes=%d", token, size)
	sends := c.sendIdempotent(request{method: http.MethodGet, path: path}, checkPattern(token, size))
	c.record(Operation{Token: token, Kind: "work", Idempotent: true, Sends: sends})
}

func (c *caller) echo(size int) {
	token := c.nextToken()
	body := standin.PatternBytes(token, size)
	sends := c.sendIdempotent(request{method: http.MethodPut, path: "/echo?token=" + token, body: body}, checkPattern(token, size))
	c.record(Operation{Token: token, Kind: "echo", Idempotent: true, Sends: sends})
}

func checkPattern(token string, size int) checkFunc {
	return func(body io.Reader) (string, string) {
		ok, err := standin.MatchesPattern(body, token, int64(size))
		if err != nil {
			return "", errTruncated.Error()
		}
		if !ok {
			return "", fmt.Sprintf("answer differs from the %d bytes of its pattern", size)
		}
		return "", ""
	}
}

// errTruncated describes a response that ended early because the connection broke. The caller detects this, so the response
// does not count as wrong.
var errTruncated = errors.New("answer was cut")

// checkFunc reads the body of a response. It returns the number of a reservation, and in which way the response is wrong.
type checkFunc func(body io.Reader) (number, wrong string)

type request struct {
	method, path, key string
	body              []byte
}

// pick returns a random usable entry VM, or any if none is usable.
func (c *caller) pick() *target {
	start := c.rng.IntN(len(c.targets))
	for i := range c.targets {
		if t := c.targets[(start+i)%len(c.targets)]; t.usable() {
			return t
		}
	}
	return c.targets[start]
}

func (c *caller) send(r request, check checkFunc) Send {
	return c.sendTo(c.pick(), r, check)
}

// maxIdempotentSends bounds the sends of an idempotent request whose connections to entry VMs break.
const maxIdempotentSends = 3

// sendIdempotent sends a request and repeats it if the connection broke before the response was complete, as callers of a
// crashing entry VM do. Any response, even an error, is final: retries towards upstreams are up to the entry VM.
func (c *caller) sendIdempotent(r request, check checkFunc) []Send {
	var sends []Send
	for range maxIdempotentSends {
		s := c.send(r, check)
		sends = append(sends, s)
		if s.Outcome == Answered {
			break
		}
	}
	return sends
}

func (c *caller) sendTo(t *target, r request, check checkFunc) Send {
	req, err := http.NewRequest(r.method, t.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return Send{Outcome: NotSent}
	}
	req.Header.Set("Currantthread-Timeout-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if len(r.body) > 0 {
		// Without GetBody the Go client does not resend the request by itself.
		req.GetBody = nil
	}
	// The Go client resends a GET by itself if a reused connection fails, and may then report that it could not connect.
	// So the request counts as not sent only if it never had a connection.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	sentAt := time.Now()
	res, err := c.client.Do(req)
	if err != nil {
		return noResponse(t, connected, err)
	}
	defer func() { _ = res.Body.Close() }()
	s := readResponse(res, check)
	if s.successful() {
		c.recordLatency(time.Since(sentAt))
	}
	return s
}

// noResponse returns the outcome of a request that got no response.
func noResponse(t *target, connected bool, err error) Send {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		t.markFailed()
	}
	if connected {
		return Send{Outcome: NoResponse}
	}
	return Send{Outcome: NotSent}
}

// readResponse reads a response to its end.
func readResponse(res *http.Response, check checkFunc) Send {
	s := Send{Outcome: Answered, Status: res.StatusCode}
	if text := res.Header.Get(verdict.Header); text != "" {
		v, err := verdict.Parse(text)
		s.Verdict, s.HasVerdict = v, err == nil
	}
	if !s.successful() {
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			s.Outcome = NoResponse
		}
		return s
	}
	body := &errorRecorder{reader: res.Body}
	s.Number, s.Wrong = check(body)
	if _, err := io.Copy(io.Discard, body); err != nil || body.failed {
		return Send{Outcome: NoResponse, Status: s.Status, Verdict: s.Verdict, HasVerdict: s.HasVerdict}
	}
	return s
}

// errorRecorder records whether a read failed before the end of the body.
type errorRecorder struct {
	reader io.Reader
	failed bool
}

func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && err != io.EOF {
		r.failed = true
	}
	return n, err
}
