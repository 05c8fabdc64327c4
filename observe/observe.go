// Package observe sets up logs, metrics and the admin HTTP server of a daemon.
package observe

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/clientlimit"
)

// Namespace is the prefix of every metric name.
const Namespace = "currantthread"

const readHeaderTimeout = 5 * time.Second

// NewLogger returns a logger that writes JSON lines, each with the names of the daemon and of its VM.
func NewLogger(out io.Writer, daemon, vm string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger.WithFields(logrus.Fields{"daemon": daemon, "vm": vm})
}

// NewRegistry returns a registry with the metrics of the Go runtime and of the process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// Health is the readiness of a daemon. It is safe for concurrent use; the zero value is not ready.
type Health struct {
	ready atomic.Bool
}

// SetReady sets the state that /readyz reports.
func (h *Health) SetReady(ready bool) { h.ready.Store(ready) }

// Ready reports whether the daemon accepts new work.
func (h *Health) Ready() bool { return h.ready.Load() }

// NewAdmin returns a router with /metrics, /healthz and /readyz, to which a daemon may add its own routes.
func NewAdmin(registry *prometheus.Registry, health *Health) *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	router.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", func(c echo.Context) error {
		if !health.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return router
}

// Serve serves handler on listener until ctx ends, then waits at most grace for requests in flight.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	return serve(ctx, listener, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, grace)
}

// ServeClients is like Serve for a listener that untrusted clients reach, with the limits of limiter.
func ServeClients(ctx context.Context, listener net.Listener, handler http.Handler, limiter *clientlimit.Limiter, grace time.Duration) error {
	server := &http.Server{Handler: handler}
	limiter.Configure(server)
	return serve(ctx, limiter.Listener(listener), server, grace)
}

// ServePeers is like Serve for a listener that other nodes reach, with the limits of limiter.
func ServePeers(ctx context.Context, listener net.Listener, handler http.Handler, limiter *clientlimit.PeerLimiter, grace time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: limiter.ConnState}
	return serve(ctx, limiter.Listener(listener), server, grace)
}

func serve(ctx context.Context, listener net.Listener, server *http.Server, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Annotatef(err, "serve on %s", listener.Addr())
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	return errors.Annotatef(server.Shutdown(shutdown), "shut down the server on %s", listener.Addr())
}
