// Package catalog holds one version of the operators' configuration of queues, services and request limits, and finds
// the queue that a request is for.
package catalog

import (
	"strings"
	"time"

	"github.com/currantthread/currantthread/workload"
)

// Queue accepts jobs under a host and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Timeout bounds the duration of one request; 0 means no bound.
	Timeout time.Duration
	Policy  workload.Policy
	Advice  Advice
	// Public means that requests need no key.
	Public bool
}

// Advice describes the responses of the advice service for a queue. The zero value means that the queue has no advice.
type Advice struct {
	// Decide is the duration of one call; PerRunner is added to it for each runner named in the call.
	Decide    time.Duration
	PerRunner time.Duration
	// Valid is how long a ticket allows starts.
	Valid time.Duration
}

// Service is a pool of runners.
type Service struct {
	Name string
	// RejectsOverload means that the service's runners refuse starts that exceed their capacity.
	RejectsOverload bool
	// Standby means that the service's machines are switched off.
	Standby    bool
	HealthPath string
}

// Limits bounds the size and timing of client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable once it is in use.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
	// Organisations has the organisations by name. If it is empty, no request needs a key.
	Organisations map[string]*Organisation
	// keys has the names of the organisations by the digests of their keys.
	keys map[keyDigest]string
}

// Match returns the queue with the longest path prefix that matches a request's host and path, and the rest of the
// path. It returns nil if no queue matches.
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
