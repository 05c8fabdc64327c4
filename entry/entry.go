// Package entry is the request path: it takes callers' requests, chooses upstreams, exchanges requests with them and
// answers. It claims idempotency keys in the table service, so that no repeat through any entry VM runs twice.
package entry

import (
	"context"
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

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/route"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/upstream"
	"github.com/currantthread/currantthread/verdict"
)

// Config is what a Server needs. Every field without a default must be set.
type Config struct {
	// VM, Region and Domain name this entry VM and its place.
	VM, Region, Domain string
	// Settings returns the settings in force on this VM. It is called for each request and must be cheap.
	Settings func() settings.Effective
	Table    infra.Table
	VMs      infra.VMList
	// Dial opens connections to upstreams; the default dials TCP.
	Dial     upstream.DialFunc
	Log      *logrus.Entry
	Registry prometheus.Registerer
	// Seed fixes the sequence of random choices; 0 means a random seed.
	Seed uint64
	// Observe is called once for each finished request, for service-level reports. Nil ignores requests.
	Observe func(Observation)
}

// Observation is one finished request.
type Observation struct {
	Service string
	// Upstream and Domain name the upstream of the last try; empty if there was none.
	Upstream, Domain string
	Verdict          verdict.Verdict
	// Status is the HTTP status that was sent to the caller; 0 if the caller's connection was aborted or gone.
	Status  int
	Latency time.Duration
}

// Server is the request path of one entry VM.
type Server struct {
	cfg     Config
	metrics *metrics
	claims  *claims
	bytes   *limit.ByteBudget
	jitter  *jitter
	router  *echo.Echo

	// instance names this process, because a VM's name outlives a restart.
	instance  string
	requestID atomic.Uint64
	// closing is set when answers must ask callers to close their connections.
	closing atomic.Bool

	mu       sync.RWMutex // owner: Server; guards services
	services map[string]*service

	// view is what the VM list said last.
	view atomic.Pointer[vmView]
}

// New returns a server. Run must be called for it to know upstreams.
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
	s.view.Store(&vmView{entryVMs: 1, regionEntryVMs: 1})
	s.bytes = limit.NewByteBudget(s.regionRate(cfg.Settings()))
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

// SetClosing makes all answers from now on ask callers to close their connections.
func (s *Server) SetClosing() { s.closing.Store(true) }

// Run follows the VM list, commits claims and collects expired ones until ctx ends. Outcomes of claims that are not
// stored by then are written before it returns, for at most claimFlushTime.
func (s *Server) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.followVMs(ctx) })
	group.Go(func() { s.claims.run(ctx) })
	group.Go(func() { s.claims.collectExpired(ctx) })
	group.Wait()
	s.closePools()
}

// nextRequestID returns an ID that no other request of any process has.
func (s *Server) nextRequestID() string {
	return s.cfg.VM + "-" + s.instance + "-" + strconv.FormatUint(s.requestID.Add(1), 36)
}

// service returns the state of a service, or nil if neither the settings nor the VM list name it.
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

// locality is the place of this entry VM as package route sees it.
func (s *Server) locality() route.Locality {
	return route.Locality{Region: s.cfg.Region, Domain: s.cfg.Domain}
}
