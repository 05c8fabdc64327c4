package entry

import (
	"sync"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/limit"
	"github.com/currantthread/currantthread/route"
	"github.com/currantthread/currantthread/settings"
	"github.com/currantthread/currantthread/upstream"
)

// defaultUpstreamConns is the connection limit of upstreams for which the VM list has none.
const defaultUpstreamConns = 64

// service is the state of one service: its endpoints, connection pools and limits.
type service struct {
	name      string
	server    *Server
	endpoints *route.Set
	admission *limit.Admission
	retries   *limit.RetryBudget

	mu    sync.Mutex // guards the fields below
	conf  settings.Service
	pools map[*route.Endpoint]*upstream.Pool
}

func newService(s *Server, name string, conf settings.Service) *service {
	return &service{
		name:      name,
		server:    s,
		endpoints: route.NewSet(s.locality(), routeConfig(conf, s.cfg.Seed)),
		admission: limit.NewAdmission(conf.Concurrency, conf.Queue),
		retries:   limit.NewRetryBudget(conf.RetryPercent, conf.RetryFloor),
		conf:      conf,
		pools:     map[*route.Endpoint]*upstream.Pool{},
	}
}

func routeConfig(conf settings.Service, seed uint64) route.Config {
	// Validated settings contain only existing policy names.
	policy, err := route.PolicyByName(conf.Policy)
	if err != nil {
		policy = nil
	}
	return route.Config{Policy: policy, EjectAfter: conf.EjectAfter, EjectTime: conf.EjectTime.D(), Seed: seed}
}

// settings returns the active settings of the service.
func (v *service) settings() settings.Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.conf
}

// configure applies conf. A changed idle check applies only to pools that are created later.
func (v *service) configure(conf settings.Service) {
	v.mu.Lock()
	limitsChanged := !sameLimits(v.conf, conf)
	routeChanged := v.conf.Policy != conf.Policy || v.conf.EjectAfter != conf.EjectAfter || v.conf.EjectTime != conf.EjectTime
	v.conf = conf
	v.mu.Unlock()
	if limitsChanged {
		v.admission.SetLimit(conf.Concurrency, conf.Queue)
		v.retries.Configure(conf.RetryPercent, conf.RetryFloor)
	}
	if routeChanged {
		v.endpoints.Configure(routeConfig(conf, v.server.cfg.Seed))
	}
}

func sameLimits(a, b settings.Service) bool {
	return a.Concurrency == b.Concurrency && a.Queue == b.Queue && a.RetryPercent == b.RetryPercent &&
		a.RetryFloor == b.RetryFloor
}

// update replaces the upstreams and closes the pools of those that were removed.
func (v *service) update(vms []infra.VM, entryVMs int) {
	v.endpoints.Update(vms)
	present := map[*route.Endpoint]bool{}
	for _, e := range v.endpoints.Endpoints() {
		present[e] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for e, pool := range v.pools {
		if !present[e] {
			pool.Close()
			delete(v.pools, e)
			continue
		}
		pool.SetMaxConns(connShare(e, entryVMs))
		pool.Trim()
	}
	v.server.metrics.upstreams.WithLabelValues(v.name).Set(float64(len(present)))
}

// connShare returns how many connections this entry VM may open to e. Entry VMs do not coordinate, so each uses an
// equal share of the connections that e accepts.
func connShare(e *route.Endpoint, entryVMs int) int {
	conns := e.Connections
	if conns <= 0 {
		conns = defaultUpstreamConns
	}
	return max(conns/max(entryVMs, 1), 1)
}

// pool returns the connection pool of e and creates it if necessary.
func (v *service) pool(e *route.Endpoint) *upstream.Pool {
	v.mu.Lock()
	defer v.mu.Unlock()
	pool := v.pools[e]
	if pool == nil {
		pool = upstream.NewPool(e.Addr, v.server.cfg.Dial, v.poolConfig(e))
		v.pools[e] = pool
	}
	return pool
}

func (v *service) poolConfig(e *route.Endpoint) upstream.Config {
	s := v.server
	cfg := upstream.Config{
		MaxConns:  connShare(e, s.view.Load().entryVMs),
		IdleCheck: v.conf.IdleCheck.D(),
		MayRetry:  v.retries.Withdraw,
		OnEvent:   func(event upstream.Event) { s.metrics.connections.WithLabelValues(string(event)).Inc() },
	}
	if e.Region != s.cfg.Region {
		cfg.OnBytes = func(n int) {
			s.regionBudget.Charge(int64(n))
			s.metrics.interRegionBytes.Add(float64(n))
		}
	}
	return cfg
}

func (v *service) closePools() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for e, pool := range v.pools {
		pool.Close()
		delete(v.pools, e)
	}
}
