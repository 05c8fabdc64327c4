package route

import "time"

// Locality is the place of the entry VM that chooses.
type Locality struct {
	Region string
	Domain string
}

// Config holds the parameters of a Set. A zero field means its default.
type Config struct {
	// Policy chooses within one locality; the default is NewTwoChoices.
	Policy Policy
	// EjectAfter is the number of consecutive failures after which an endpoint is ejected.
	EjectAfter int
	// EjectTime is the first time without requests for an ejected endpoint. It doubles with each ejection that
	// follows without a full return in between.
	EjectTime time.Duration
	// MaxEjectTime bounds the doubled EjectTime.
	MaxEjectTime time.Duration
	// ReturnRamp is the time over which an endpoint that returned regains its full share.
	ReturnRamp time.Duration
	// LeavingHold is how long an endpoint that said it is leaving gets no requests while the VM list shows it live.
	LeavingHold time.Duration
	// SpillDomain is the extra delay of a request to another failure domain of the own region, there and back.
	SpillDomain time.Duration
	// SpillRegion is the extra delay of a request to another region, there and back.
	SpillRegion time.Duration
	// EntryVMs is the number of live entry VMs, which share the connections of an endpoint; 0 means that the number of
	// requests in flight at an endpoint is not bounded.
	EntryVMs int
	// Seed fixes the sequence of random choices; 0 means the runtime's generator.
	Seed uint64
}

const (
	defaultEjectAfter = 5
	defaultEjectTime  = 5 * time.Second
	// ejectTimeFactor bounds the doubling: an endpoint is tried again at least every 16 EjectTimes.
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
