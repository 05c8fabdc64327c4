package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/ledger"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/route"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

const (
	// maxKeyLength is the longest Idempotency-Key in bytes.
	maxKeyLength = 255
	// responseGrace is how long after the request's deadline the caller may still receive the response.
	responseGrace = 5 * time.Second
)

// call is one request of a caller while it is processed.
type call struct {
	server     *Server
	svc        *service
	conf       settings.Service
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	id         string
	begin      time.Time
	ctx        context.Context
	target     *url.URL
	class      limit.Class
	key        string
	body       *callBody
	// idempotent is set if the request may run more than once.
	idempotent bool

	// The outcome, for metrics and service-level reports.
	status   int
	verdict  verdict.Verdict
	endpoint *route.Endpoint
}

// handle serves one request of a caller.
func (s *Server) handle(ec echo.Context) error {
	w, r := ec.Response().Writer, ec.Request()
	conflicting := markResponding(r)
	c := &call{server: s, writer: w, request: r, controller: http.NewResponseController(w), id: s.nextRequestID(), begin: time.Now()}
	c.svc = s.service(ec.Param("service"))
	if conflicting {
		w.Header().Set(echo.HeaderConnection, "close")
		refusal := verdict.New(verdict.NotRun, codeBadRequest, "the request has both Content-Length and Transfer-Encoding")
		s.metrics.refusals.WithLabelValues(unknownService, string(refusal.Code)).Inc()
		s.writeRefusal(w, c.id, refusal)
		return nil
	}
	if c.svc == nil {
		refusal := verdict.New(verdict.NotRun, codeUnknownService, "service %q is unknown", ec.Param("service"))
		s.metrics.refusals.WithLabelValues(unknownService, string(refusal.Code)).Inc()
		s.writeRefusal(w, c.id, refusal)
		return nil
	}
	inFlight := s.metrics.inFlight.WithLabelValues(c.svc.name)
	inFlight.Inc()
	// A deferred function also runs when abort panics.
	defer func() {
		inFlight.Dec()
		c.observe()
	}()
	timeout, err := c.prepare()
	if err != nil {
		c.refuse(err)
		c.linger()
		return nil
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.begin.Add(timeout))
	defer cancel()
	c.ctx = ctx
	c.serve()
	c.linger()
	return nil
}

// bodyUnread reports whether the caller may still be sending its body.
func (c *call) bodyUnread() bool { return c.body != nil && !errors.Is(c.body.err, io.EOF) }

// linger lets a caller that is still sending its body receive the response before the connection is closed.
func (c *call) linger() {
	conn, ok := c.request.Context().Value(callerConnKey{}).(*callerConn)
	if !ok || !c.bodyUnread() {
		return
	}
	_ = c.controller.Flush()
	conn.linger()
}

func (c *call) observe() {
	latency := time.Since(c.begin)
	m := c.server.metrics
	m.requests.WithLabelValues(c.svc.name, c.verdict.String(), statusClass(c.status)).Inc()
	m.duration.WithLabelValues(c.svc.name).Observe(latency.Seconds())
	o := Observation{Service: c.svc.name, Verdict: c.verdict, Status: c.status, Latency: latency}
	if c.endpoint != nil {
		o.Upstream, o.Domain = c.endpoint.ID, c.endpoint.Domain
	}
	c.server.cfg.Observe(o)
}

// refuse sends an error response for a request that has no response from an upstream.
func (c *call) refuse(err error) {
	refusal := asVerdict(err)
	c.verdict = refusal.Verdict
	c.status = statusOf(refusal)
	c.server.metrics.refusals.WithLabelValues(c.svc.name, string(refusal.Code)).Inc()
	if refusal.Code == upstream.CodeCancelled && c.request.Context().Err() != nil {
		return
	}
	if c.bodyUnread() {
		c.writer.Header().Set(echo.HeaderConnection, "close")
	}
	c.server.writeRefusal(c.writer, c.id, refusal)
}

// prepare validates the request and returns its timeout. Errors are *verdict.Error with NotRun.
func (c *call) prepare() (time.Duration, error) {
	effective := c.server.cfg.Settings()
	c.conf = c.svc.settings()
	if size := headerSize(c.request); size > int64(effective.Entry.MaxHeaderBytes) {
		return 0, verdict.New(verdict.NotRun, codeHeaderTooLarge, "the header has %d bytes; at most %s are allowed", size, effective.Entry.MaxHeaderBytes)
	}
	if c.request.ContentLength > int64(effective.Entry.MaxBodyBytes) {
		return 0, verdict.New(verdict.NotRun, codeBodyTooLarge, "the body has %d bytes; at most %s are allowed", c.request.ContentLength, effective.Entry.MaxBodyBytes)
	}
	timeout, err := c.timeout()
	if err != nil {
		return 0, err
	}
	if c.class, err = parseClass(c.request.Header.Get(headerPriority)); err != nil {
		return 0, err
	}
	c.target = targetOf(c.request.URL)
	c.idempotent = isIdempotent(c.conf, c.request.Method, c.target)
	if err := c.parseKey(); err != nil {
		return 0, err
	}
	c.body = newCallBody(c.request, int64(effective.Entry.MaxBodyBytes), int64(effective.Entry.ReplayBodyBytes))
	c.cleanHeader()
	return timeout, c.receiveBody(c.begin.Add(timeout))
}

func (c *call) timeout() (time.Duration, error) {
	value := c.request.Header.Get(upstream.HeaderTimeout)
	if value == "" {
		return c.conf.Timeout.D(), nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil || millis <= 0 {
		return 0, verdict.New(verdict.NotRun, codeBadRequest, "%s is %q; write a positive number of milliseconds", upstream.HeaderTimeout, value)
	}
	millis = min(millis, c.conf.MaxTimeout.D().Milliseconds())
	return time.Duration(millis) * time.Millisecond, nil
}

func parseClass(value string) (limit.Class, error) {
	switch value {
	case "", limit.LatencyCritical.String():
		return limit.LatencyCritical, nil
	case limit.Batch.String():
		return limit.Batch, nil
	default:
		return 0, verdict.New(verdict.NotRun, codeBadRequest, "%s is %q; write %s or %s", headerPriority, value, limit.LatencyCritical, limit.Batch)
	}
}

// targetOf returns the path and query for the upstream: the part after /svc/<service>.
func targetOf(u *url.URL) *url.URL {
	target := &url.URL{Path: afterService(u.Path), RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	if u.RawPath != "" {
		target.RawPath = afterService(u.RawPath)
	}
	return target
}

func afterService(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/svc/"), "/")
	return "/" + rest
}

// isIdempotent reports whether a request may run more than once. Requests under a path in idempotent_paths are
// idempotent with every method, even if the service declares all methods non-idempotent.
func isIdempotent(conf settings.Service, method string, target *url.URL) bool {
	if hasListedPrefix(conf.IdempotentPaths, target) {
		return true
	}
	if conf.NonIdempotentAll {
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// hasListedPrefix reports whether the target is under one of the prefixes. It compares whole path segments. Paths that
// an upstream may normalise to another path never match.
func hasListedPrefix(prefixes []string, target *url.URL) bool {
	if len(prefixes) == 0 || target.RawPath != "" || strings.ContainsAny(target.Path, `\;`) {
		return false
	}
	segments := strings.Split(target.Path, "/")
	if slices.Contains(segments, ".") || slices.Contains(segments, "..") {
		return false
	}
	return slices.ContainsFunc(prefixes, func(prefix string) bool {
		prefix = strings.TrimSuffix(prefix, "/")
		return target.Path == prefix || strings.HasPrefix(target.Path, prefix+"/")
	})
}

// parseKey reads the idempotency key. Idempotent requests need no claim, so their key is only forwarded.
func (c *call) parseKey() error {
	values := c.request.Header.Values(headerIdempotencyKey)
	if len(values) > 1 {
		return verdict.New(verdict.NotRun, codeBadRequest, "%s is given %d times", headerIdempotencyKey, len(values))
	}
	if len(values) == 0 || c.idempotent {
		return nil
	}
	c.key = values[0]
	if c.key == "" || len(c.key) > maxKeyLength {
		return verdict.New(verdict.NotRun, codeBadRequest, "%s has %d bytes; 1 to %d are allowed", headerIdempotencyKey, len(c.key), maxKeyLength)
	}
	return nil
}

// cleanHeader removes the headers that are not forwarded to the upstream.
func (c *call) cleanHeader() {
	removeHopHeaders(c.request.Header)
	c.request.Header.Del("Expect")
	c.request.Header.Del(headerPriority)
}

// receiveBody reads short bodies before the request is admitted, so that a slow sender holds no upstream connection.
// Bodies of unknown length are streamed, unless the request has an idempotency key and a digest is needed first.
func (c *call) receiveBody(deadline time.Time) error {
	if c.body.complete() {
		return nil
	}
	// A caller that stops sending must not hold the request beyond its deadline.
	_ = c.controller.SetReadDeadline(deadline)
	if c.key != "" || (c.body.length >= 0 && c.body.length <= int64(c.body.keepLimit)) {
		if err := c.body.readAhead(); err != nil {
			return err
		}
	}
	if !c.body.complete() {
		// Otherwise net/http consumes the rest of the body when the response begins.
		_ = c.controller.EnableFullDuplex()
	}
	return nil
}

// stopBody makes a blocked read of the caller's body return.
func (c *call) stopBody() { _ = c.controller.SetReadDeadline(time.Unix(1, 0)) }

// serve waits for admission, claims the idempotency key if there is one, and exchanges the request with an upstream.
func (c *call) serve() {
	c.svc.retries.Deposit()
	var digest *requestDigest
	var row claimRow
	if c.key != "" {
		digest, row = c.newClaimRow()
	}
	for {
		release, err := c.svc.admission.Acquire(c.ctx, c.class)
		if err != nil {
			c.refuse(err)
			return
		}
		if c.key == "" {
			defer release()
			c.exchange(nil, nil)
			return
		}
		held, err := c.claim(row)
		if err == nil {
			c.server.metrics.claims.WithLabelValues("claimed").Inc()
			defer release()
			c.exchange(held, digest)
			return
		}
		// A repeated request that waits for the first one must not occupy an admission slot.
		release()
		if !errors.Is(err, errClaimExists) {
			c.refuse(err)
			return
		}
		c.server.metrics.claims.WithLabelValues("repeat").Inc()
		if c.awaitClaim(row, digest) {
			return
		}
	}
}

// claim claims the request's key. It reads the row first, because creating a row that exists makes the whole grouped
// transaction conflict, and the claims of other requests in it must be sent again.
func (c *call) claim(row claimRow) (*claim, error) {
	claims := c.server.claims
	if _, version, err := claims.read(c.ctx, c.claimKey()); err == nil && version != 0 {
		return nil, errClaimExists
	}
	return claims.create(c.ctx, c.claimKey(), row)
}

func (c *call) claimKey() string { return ledger.ClaimKey(c.svc.name, keyDigest(c.key)) }

// newClaimRow returns the row that claims the key, and the digest, which continues over the rest of the body.
func (c *call) newClaimRow() (*requestDigest, claimRow) {
	digest := newRequestDigest(c.request.Method, c.target)
	digest.add(strconv.FormatInt(c.body.sendLength(), 10))
	_, _ = digest.Write(c.body.kept)
	c.body.digest = digest
	deadline, _ := c.ctx.Deadline()
	return digest, claimRow{
		Holder:        c.server.cfg.VM,
		Instance:      c.server.instance,
		State:         claimRunning,
		CreatedMillis: time.Now().UnixMilli(),
		TimeoutMillis: time.Until(deadline).Milliseconds(),
		RequestDigest: digest.sum(),
	}
}

// Interval between two reads of a claim's row while its request is running. It doubles up to the maximum.
const (
	firstClaimPollInterval = 20 * time.Millisecond
	maxClaimPollInterval   = 250 * time.Millisecond
)

// awaitClaim responds to a repeated request with the stored outcome of the first one, after waiting for it to finish.
// It returns false if the row was removed and the request may claim the key itself.
func (c *call) awaitClaim(newRow claimRow, digest *requestDigest) bool {
	claims := c.server.claims
	key := c.claimKey()
	began := time.Now()
	for interval := firstClaimPollInterval; ; interval = min(2*interval, maxClaimPollInterval) {
		row, version, err := claims.read(c.ctx, key)
		switch {
		case c.ctx.Err() != nil:
			c.refuse(verdict.New(verdict.MayHaveRun, codeKeyRunning, "the first request with this key is still running"))
			return true
		case err != nil:
			c.refuse(verdict.Wrap(verdict.MayHaveRun, codeKeyUnknown, err))
			return true
		case version == 0:
			return false
		case row.expired(time.Now(), c.server.cfg.Settings().Entry.ClaimExpiry.D()):
			claims.remove(&claim{key: key, version: version})
		case row.RequestDigest != newRow.RequestDigest:
			c.refuse(verdict.New(verdict.NotRun, codeKeyReused, "the key was used for another request"))
			return true
		case row.State != claimRunning:
			c.respondFromClaim(row, digest)
			return true
		case claims.noOutcomeExpected(row, time.Since(began)):
			c.refuse(verdict.New(verdict.MayHaveRun, codeKeyUnknown, "the entry VM that held the first request is gone"))
			return true
		}
		wait.For(c.ctx, c.server.jitter.around(interval))
	}
}

// respondFromClaim responds to a repeated request with the stored outcome of the first one.
func (c *call) respondFromClaim(row claimRow, digest *requestDigest) {
	if row.FullDigest != "" {
		if err := c.body.drain(); err != nil {
			c.refuse(err)
			return
		}
		if digest.sum() != row.FullDigest {
			c.refuse(verdict.New(verdict.NotRun, codeKeyReused, "the key was used for another request"))
			return
		}
	}
	switch {
	case row.State == claimUnknown:
		c.refuse(verdict.New(verdict.MayHaveRun, codeKeyUnknown, "the outcome of the first request is unknown"))
	case row.Response == nil:
		c.refuse(verdict.New(verdict.Ran, codeResponseNotKept, "the first request ran; its answer was not kept"))
	default:
		c.server.metrics.claims.WithLabelValues("answered").Inc()
		c.writeKept(row.Response)
	}
}
