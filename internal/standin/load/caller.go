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
	// callerDeadline is sent with each request, and clientTimeout is when a caller gives up waiting.
	callerDeadline = 5 * time.Second
	clientTimeout  = 10 * time.Second
	// avoidTime is how long callers avoid an entry VM that they could not connect to, as the balancer would.
	avoidTime = time.Second
)

// Sizes of the large requests.
const (
	largeBody   = 1 << 20
	largeAnswer = 8 << 20
)

// target is the caller's side of one entry VM.
type target struct {
	base string

	mu    sync.Mutex // owned by the methods below
	avoid time.Time
}

func (t *target) usable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().After(t.avoid)
}

func (t *target) failed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoid = time.Now().Add(avoidTime)
}

// caller sends one operation after the other. Its owner is one goroutine.
type caller struct {
	id      string
	rng     *rand.Rand
	client  *http.Client
	targets []*target
	// reserve is the path of the service's non-idempotent request.
	reserve string
	sent    int
	done    []Operation
	// took records the time of each answer with success.
	took func(time.Duration)
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

// run sends operations with pauses of think on average until ctx ends.
func (c *caller) run(ctx context.Context, think time.Duration) {
	for ctx.Err() == nil {
		c.one()
		timer := time.NewTimer(time.Duration(c.rng.ExpFloat64() * float64(think)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// one sends one operation of a mix: mostly availability checks, then reservations with and without a key, and answers
// and bodies of some KiB.
func (c *caller) one() {
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

func (c *caller) token() string {
	c.sent++
	return c.id + "-" + strconv.Itoa(c.sent)
}

func (c *caller) add(op Operation) { c.done = append(c.done, op) }

func (c *caller) availability() {
	token := c.token()
	sends := c.sendIdempotent(request{method: http.MethodGet, path: "/availability?place=p1&date=2027-03-07&token=" + token},
		func(body io.Reader) (string, string) {
			var got standin.Availability
			if err := json.NewDecoder(body).Decode(&got); err != nil || got.Token != token || !got.Free {
				return "", fmt.Sprintf("availability answer is %+v: %v", got, err)
			}
			return "", ""
		})
	c.add(Operation{Token: token, Kind: "availability", Idempotent: true, Sends: sends})
}

func (c *caller) reservation() {
	token := c.token()
	send := c.send(c.reservationRequest(token, ""), checkReservation(token))
	c.add(Operation{Token: token, Kind: "reservation", Sends: []Send{send}})
}

// keyedReservation sends a request and repeats it through any entry VM, at once or later.
func (c *caller) keyedReservation() {
	token := c.token()
	req := c.reservationRequest(token, "key-"+token)
	first := c.send(req, checkReservation(token))
	second := c.send(req, checkReservation(token))
	c.add(Operation{Token: token, Kind: "keyed reservation", Sends: []Send{first, second}})
}

// concurrentReservation sends a request with a key through two entry VMs at the same time.
func (c *caller) concurrentReservation() {
	token := c.token()
	req := c.reservationRequest(token, "key-"+token)
	targets := []*target{c.pick(), c.pick()}
	sends := make([]Send, len(targets))
	var group sync.WaitGroup
	for i, target := range targets {
		group.Go(func() { sends[i] = c.sendTo(target, req, checkReservation(token)) })
	}
	group.Wait()
	c.add(Operation{Token: token, Kind: "concurrent keyed reservation", Sends: sends})
}

func (c *caller) reservationRequest(token, key string) request {
	return request{
		method: http.MethodPost, path: c.reserve + "?token=" + token, key: key,
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
	token := c.token()
	path := fmt.Sprintf("/work?token=%s&bytes=%d", token, size)
	sends := c.sendIdempotent(request{method: http.MethodGet, path: path}, checkPattern(token, size))
	c.add(Operation{Token: token, Kind: "work", Idempotent: true, Sends: sends})
}

func (c *caller) echo(size int) {
	token := c.token()
	body := standin.PatternBytes(token, size)
	sends := c.sendIdempotent(request{method: http.MethodPut, path: "/echo?token=" + token, body: body}, checkPattern(token, size))
	c.add(Operation{Token: token, Kind: "echo", Idempotent: true, Sends: sends})
}

func checkPattern(token string, size int) checkFunc {
	return func(body io.Reader) (string, string) {
		ok, err := standin.MatchesPattern(body, token, int64(size))
		if err != nil {
			return "", errCut.Error()
		}
		if !ok {
			return "", fmt.Sprintf("answer differs from the %d bytes of its pattern", size)
		}
		return "", ""
	}
}

// errCut marks an answer that the connection cut. The caller can tell, so it is no wrong answer.
var errCut = errors.New("answer was cut")

// checkFunc reads the body of an answer. It returns the number of a reservation, and how the answer is wrong.
type checkFunc func(body io.Reader) (number, wrong string)

type request struct {
	method, path, key string
	body              []byte
}

// pick returns an entry VM that can be connected to, or any if none can.
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

// maxIdempotentSends bounds how often a caller sends an idempotent request whose connection to an entry VM broke.
const maxIdempotentSends = 3

// sendIdempotent sends a request, and again through another entry VM if no answer came because the connection broke, as
// callers of an entry VM that dies do. Any answer, also an error, is final: retries towards upstreams are the entry VM's.
func (c *caller) sendIdempotent(r request, check checkFunc) []Send {
	var sends []Send
	for range maxIdempotentSends {
		s := c.send(r, check)
		sends = append(sends, s)
		if s.End == Answered {
			break
		}
	}
	return sends
}

func (c *caller) sendTo(t *target, r request, check checkFunc) Send {
	req, err := http.NewRequest(r.method, t.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return Send{End: NotSent}
	}
	req.Header.Set("Currantthread-Timeout-Ms", strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if len(r.body) > 0 {
		// Without GetBody the Go client sends the request once.
		req.GetBody = nil
	}
	// The client sends a GET again by itself if a reused connection fails, and then may report that it could not
	// connect. The request was not sent only if it never had a connection.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	begun := time.Now()
	res, err := c.client.Do(req)
	if err != nil {
		return noAnswer(t, connected, err)
	}
	defer func() { _ = res.Body.Close() }()
	s := receive(res, check)
	if s.good() {
		c.took(time.Since(begun))
	}
	return s
}

// noAnswer returns the end of a request that got no answer.
func noAnswer(t *target, connected bool, err error) Send {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		t.failed()
	}
	if connected {
		return Send{End: NoAnswer}
	}
	return Send{End: NotSent}
}

// receive reads an answer to its end.
func receive(res *http.Response, check checkFunc) Send {
	s := Send{End: Answered, Status: res.StatusCode}
	if text := res.Header.Get(verdict.Header); text != "" {
		v, err := verdict.Parse(text)
		s.Verdict, s.HasVerdict = v, err == nil
	}
	if !s.good() {
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			s.End = NoAnswer
		}
		return s
	}
	body := &endRecorder{reader: res.Body}
	s.Number, s.Wrong = check(body)
	if _, err := io.Copy(io.Discard, body); err != nil || body.failed {
		return Send{End: NoAnswer, Status: s.Status, Verdict: s.Verdict, HasVerdict: s.HasVerdict}
	}
	return s
}

// endRecorder notes whether reading failed before the end.
type endRecorder struct {
	reader io.Reader
	failed bool
}

func (r *endRecorder) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && err != io.EOF {
		r.failed = true
	}
	return n, err
}
