package route

import "time"

// Locality is the location of the entry VM that chooses endpoints.
type Locality struct {
	Region string
	Domain string
}

// Config holds the parameters of a Set. A field that is zero takes its default.
type Config struct {
	// Policy chooses within one locality; the default is NewTwoChoices.
	Policy Policy
	// EjectAfter is the number of consecutive failures after which an endpoint is ejected.
	EjectAfter int
	// EjectTime is how long an endpoint gets no requests after its first ejection. It doubles with each further ejection
	// until the endpoint has fully returned.
	EjectTime time.Duration
	// MaxEjectTime bounds the doubled EjectTime.
	MaxEjectTime time.Duration
	// ReturnRamp is the time over which the share of a returning endpoint grows to its full share.
	ReturnRamp time.Duration
	// LeavingHold is how long an endpoint that reported that it is leaving gets no requests although the VM list shows it
	// live.
	LeavingHold time.Duration
	// SpillDomain is the extra round-trip time of a request to another failure domain of the local region.
	SpillDomain time.Duration
	// SpillRegion is the extra round-trip time of a request to another region.
	SpillRegion time.Duration
	// EntryVMs is the number of live entry VMs, which share the connections of an endpoint; 0 means that the number of
	// requests in flight at an endpoint is not bounded.
	EntryVMs int
	// Seed makes the sequence of random choices deterministic; 0 means the runtime's generator.
	Seed uint64
}

const (
	defaultEjectAfter = 5
	defaultEjectTime  = 5 * time.Second
	// ejectTimeFactor is the default ratio of MaxEjectTime to EjectTime: an ejected endpoint gets a trial at least every
	// 16 EjectTimes.
	ejectTimeFactor   = 16
	defaultReturnRamp = 10 * time.Second
	// defaultLeavingHold outlasts the lag of the VM list and a restart of the upstream under the same ID.
	defaultLeavingHold = 10 * time.Minute
	defaultSpillDomain = 2 * time.Millisecond
	defaultSpillRegion = 40 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Policy == nil {
		c.Policy = NewTwoChoices()
	}
	if c.EjectAfter == 0 {
		c.EjectAfter = defaultEjectAfter
	}
	setDefault(&c.EjectTime, defaultEjectTime)
	setDefault(&c.MaxEjectTime, ejectTimeFactor*c.EjectTime)
	setDefault(&c.ReturnRamp, defaultReturnRamp)
	setDefault(&c.LeavingHold, defaultLeavingHold)
	setDefault(&c.SpillDomain, defaultSpillDomain)
	setDefault(&c.SpillRegion, defaultSpillRegion)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
