// Package catalog is the operators' configuration of queues and services, as one version of it says.
package catalog

import (
	"strings"
	"time"

	"github.com/currantthread/currantthread/workload"
)

// Queue takes jobs under a host and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Timeout is the queue's bound on the time of one request; 0 means none.
	Timeout time.Duration
	Policy  workload.Policy
	Advice  Advice
}

// Advice says how the advice service answers for a queue; the zero value means that the queue has none.
type Advice struct {
	// Decide is the time of one call, and PerRunner is added for each runner named in it.
	Decide    time.Duration
	PerRunner time.Duration
	// Valid is how long a ticket allows starts.
	Valid time.Duration
}

// Service is a pool of runners.
type Service struct {
	Name string
	// RejectsOverload means that the service's runners refuse what does not fit.
	RejectsOverload bool
	// Standby means that the service's machines are off.
	Standby    bool
	HealthPath string
}

// Limits bounds requests of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is not changed once it is in use.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
}

// Match returns the queue for a request's host and path, by the longest matching prefix, and what follows the prefix.
func (c *Config) Match(host, path string) (*Queue, string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}

// Queue returns the queue with the name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}
