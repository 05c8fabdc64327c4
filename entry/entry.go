// Package entry implements the request path. It accepts callers' requests, chooses upstreams, forwards the requests and
// returns the responses. It claims idempotency keys in the table service, so that a repeated request runs only once, no
// matter which entry VMs it is sent to.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/clientlimit"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/observe"
	"github.com/currantthread/currantthread/route"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// Config is the configuration of a Server. Fields without a default must be set.
type Config struct {
	// VM, Region and Domain are the name, region and failure domain of this entry VM.
	VM, Region, Domain string
	// Settings returns the active settings of this VM. It is called for each request and must be cheap.
	Settings func() settings.Effective
	Table    infra.Table
	VMs      infra.VMList
	// Dial opens connections to upstreams; the default dials TCP.
	Dial     upstream.DialFunc
	Log      *logrus.Entry
	Registry prometheus.Registerer
	// Seed is the seed of random choices; 0 means a random seed.
	Seed uint64
	// Observe is called once for each finished request, for service-level reports. Nil ignores requests.
	Observe func(Observation)
	// Budget bounds what callers may hold together; the zero value means the default of clientlimit.BudgetOf.
	Budget clientlimit.Budget
}

// Observation describes one finished request.
type Observation struct {
	Service string
	// Upstream and Domain identify the upstream of the last attempt; empty if there was none.
	Upstream, Domain string
	Verdict          verdict.Verdict
	// Status is the HTTP status that was sent to the caller; 0 if the connection was aborted before the end of the
	// response.
	Status  int
	Latency time.Duration
}

// Server serves callers' requests on one entry VM.
type Server struct {
	cfg          Config
	metrics      *metrics
	clients      *clientlimit.Limiter // bounds callers' connections
	claims       *claims
	regionBudget *limit.ByteBudget
	jitter       *jitter
	router       *echo.Echo

	// instance identifies this process, because a VM keeps its name across restarts.
	instance  string
	requestID atomic.Uint64
	// closing is set when responses must ask callers to close their connections.
	closing atomic.Bool

	mu       sync.RWMutex // guards services
	services map[string]*service

	// view is derived from the last VM list.
	view atomic.Pointer[vmView]
}

// New returns a server. It has no upstreams until Run or UpdateVMs is called.
func New(cfg Config) *Server {
	if cfg.Dial == nil {
		dialer := &net.Dialer{}
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Observation) {}
	}
	s := &Server{
		cfg:      cfg,
		metrics:  newMetrics(cfg.Registry),
		jitter:   newJitter(cfg.Seed),
		instance: uuid.NewString()[:8],
		services: map[string]*service{},
	}
	s.clients = clientlimit.New(cfg.Registry, observe.Namespace, cfg.Log)
	if cfg.Budget != (clientlimit.Budget{}) {
		s.clients.SetBudget(cfg.Budget)
	}
	s.clients.Refusal = func(status int) []byte { return s.refusal(fmt.Sprintf("%d %s", status, http.StatusText(status))) }
	s.view.Store(&vmView{entryVMs: 1, regionEntryVMs: 1})
	s.regionBudget = limit.NewByteBudget(s.regionRate(cfg.Settings()))
	s.claims = newClaims(s)
	s.router = s.newRouter()
	s.applySettings()
	return s
}

func (s *Server) newRouter() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = s.refuseUnrouted
	router.Any("/svc/:service", s.handle)
	router.Any("/svc/:service/*", s.handle)
	return router
}

// Handler returns the handler of callers' requests.
func (s *Server) Handler() http.Handler { return s.router }

// SetClosing makes all further responses ask callers to close their connections.
func (s *Server) SetClosing() { s.closing.Store(true) }

// Run polls the VM list, commits claims and removes expired ones until ctx ends. Before it returns, it writes outcomes
// that are still pending, for at most claimFlushTimeout.
func (s *Server) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.pollVMList(ctx) })
	group.Go(func() { s.claims.run(ctx) })
	group.Go(func() { s.claims.collectExpired(ctx) })
	group.Wait()
	s.closePools()
}

// nextRequestID returns a request ID that is unique across all processes.
func (s *Server) nextRequestID() string {
	return s.cfg.VM + "-" + s.instance + "-" + strconv.FormatUint(s.requestID.Add(1), 36)
}

// service returns the state of a service, or nil if it is in neither the settings nor the VM list.
func (s *Server) service(name string) *service {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[name]
}

func (s *Server) closePools() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, svc := range s.services {
		svc.closePools()
	}
}

// locality returns the region and failure domain of this entry VM, which package route prefers.
func (s *Server) locality() route.Locality {
	return route.Locality{Region: s.cfg.Region, Domain: s.cfg.Domain}
}
