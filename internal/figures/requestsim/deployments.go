package requestsim

import (
	"time"

	"github.com/currantthread/currantthread/route"
)

// Manizales returns the service kioscos of the deployment manizales.
func Manizales(seed uint64) Config {
	cfg := deployment(seed)
	cfg.Domains = []FailureDomain{
		{Region: "caldas-centro", Domain: "chipre", Entries: 3, Runners: 24},
		{Region: "caldas-centro", Domain: "la-enea", Entries: 3, Runners: 23},
		{Region: "valle-norte", Domain: "cartago", Entries: 3, Runners: 23},
	}
	cfg.DomainDelay = time.Millisecond
	cfg.Concurrency = 62
	cfg.Route = route.Config{EntryVMs: 9}
	return cfg
}

// Baling returns the service belownia of the deployment baling.
func Baling(seed uint64) Config {
	cfg := deployment(seed)
	cfg.Domains = []FailureDomain{
		{Region: "slask", Domain: "gliwice", Entries: 3, Runners: 19},
		{Region: "slask", Domain: "katowice", Entries: 3, Runners: 19},
		{Region: "pomorze", Domain: "gdynia", Entries: 2, Runners: 12},
	}
	cfg.DomainDelay = 500 * time.Microsecond
	cfg.Concurrency = 50
	cfg.Route = route.Config{EntryVMs: 8}
	return cfg
}

// deployment returns the parameters that both deployments share. The callers set the concurrency of an entry VM to its
// share of all slots, because a higher concurrency would move the queue into the runners, which ignore priorities.
//
// The link between regions has 30 Mbit/s, of which requests may use 60%.
func deployment(seed uint64) Config {
	return Config{Seed: seed, Slots: 8, Connections: 64, ServiceTime: 100 * time.Millisecond, ServiceVariation: 0.5,
		LocalDelay: 50 * time.Microsecond, RegionDelay: 20 * time.Millisecond,
		Queue: 512, Timeout: 10 * time.Second, ConnectTimeout: 500 * time.Millisecond,
		MaxRetries: 2, RetryPercent: 10, RetryFloor: 3, ListLag: 2 * time.Second, ListInterval: time.Second,
		LinkRate: 30_000_000 / 8 * 60 / 100 / 3, RequestBytes: 4096}
}
