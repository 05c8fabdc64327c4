package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Effective holds the value of every setting at one level of the tree, including inherited values and defaults.
//
// The struct tags define the parser's checks and the reference page: toml is the key, default the value if no level sets
// it, min and max the inclusive range, oneof the allowed words and doc the description.
type Effective struct {
	Entry     Entry               `toml:"entry"`
	Sched     Sched               `toml:"sched"`
	Zone      Zone                `toml:"zone"`
	Services  map[string]Service  `toml:"service"`
	Teams     map[string]Team     `toml:"team"`
	Schedules map[string]Schedule `toml:"schedule"`
}

// Entry holds the settings of entry daemons.
type Entry struct {
	BalancerLag      Duration `toml:"balancer_lag" default:"3s" min:"0s" max:"60s" doc:"How long a stopping daemon goes on accepting after /readyz fails, so that the balancer can notice."`
	ShutdownGrace    Duration `toml:"shutdown_grace" default:"30s" min:"1s" max:"10m" doc:"Longest wait for requests in flight during shutdown."`
	MaxHeaderBytes   Bytes    `toml:"max_header" default:"64KiB" min:"4KiB" max:"1MiB" doc:"Largest request header."`
	MaxBodyBytes     Bytes    `toml:"max_body" default:"16MiB" min:"0B" max:"1GiB" doc:"Largest request body."`
	ReplayBodyBytes  Bytes    `toml:"replay_body" default:"64KiB" min:"0B" max:"1MiB" doc:"Largest request body that is kept for a retry."`
	VMListInterval   Duration `toml:"vm_list_interval" default:"1s" min:"100ms" max:"1m" doc:"Time between reads of the VM list, before jitter."`
	ClaimSpacing     Duration `toml:"claim_spacing" default:"20ms" min:"1ms" max:"1s" doc:"Shortest time between two transactions of idempotency claims."`
	ClaimExpiry      Duration `toml:"claim_expiry" default:"24h" min:"1m" max:"720h" doc:"How long an idempotency key is remembered."`
	InterRegionRate  BitRate  `toml:"inter_region_rate" default:"30Mbit/s" min:"100kbit/s" max:"100Gbit/s" doc:"Capacity of the link between regions, each way, for all traffic."`
	InterRegionShare int      `toml:"inter_region_share" default:"60" min:"0" max:"100" doc:"Percentage of that capacity that requests of this region may use."`
}

// Sched holds the settings of sched daemons.
type Sched struct {
	CellsPerDomain     int      `toml:"cells_per_domain" default:"1" min:"1" max:"64" doc:"Cells in each failure domain. Fixed while the deployment runs."`
	CellLease          Duration `toml:"cell_lease" default:"5s" min:"1s" max:"1m" doc:"How long an ownership row may stay unchanged before a peer takes the cell over."`
	WorkerLease        Duration `toml:"worker_lease" default:"10s" min:"2s" max:"10m" doc:"Term of a worker's lease. Must be at least cell_lease + 2s, so that a takeover stops no task."`
	StartPermit        Duration `toml:"start_permit" default:"2s" min:"500ms" max:"2500ms" doc:"How long after a read of the failure domain's state tasks may start."`
	OfflineLimit       Duration `toml:"offline_limit" default:"2h" min:"1m" max:"48h" doc:"How long an owner renews worker leases without a renewal of its ownership row."`
	CommitSpacing      Duration `toml:"commit_spacing" default:"500ms" min:"10ms" max:"5s" doc:"Shortest time between two ledger transactions of a cell under load."`
	ScanInterval       Duration `toml:"scan_interval" default:"1s" min:"100ms" max:"1m" doc:"Time between scans of the queues, before jitter."`
	MaxEvictions       int      `toml:"max_evictions" default:"3" min:"0" max:"100" doc:"Evictions of one task after which it is a victim only if nothing else fits."`
	BadJobWorkers      int      `toml:"bad_job_workers" default:"3" min:"1" max:"20" doc:"Different workers on which a task must fail before it is parked as a bad job."`
	BadWorkerJobs      int      `toml:"bad_worker_jobs" default:"3" min:"1" max:"20" doc:"Different jobs that must fail in a row on a worker before it gets no starts."`
	BadWorkerBackoff   Duration `toml:"bad_worker_backoff" default:"1m" min:"1s" max:"24h" doc:"First time without starts for a bad worker; doubles up to 16 times that."`
	UsageLag           Duration `toml:"usage_lag" default:"10s" min:"0s" max:"10m" doc:"Lag of usage reports. No second preemption for the same reason within this time."`
	ReturnStartsPerSec int      `toml:"return_starts_per_second" default:"50" min:"1" max:"10000" doc:"Starts per second in a cell during the first minute after its failure domain returns."`
}

// Service holds the settings of one service.
type Service struct {
	Timeout            Duration `toml:"timeout" default:"10s" min:"1ms" max:"10m" doc:"Deadline of a request that names none."`
	MaxTimeout         Duration `toml:"max_timeout" default:"60s" min:"1ms" max:"1h" doc:"Longest deadline that a request may name."`
	Policy             string   `toml:"policy" default:"p2c" oneof:"p2c,round-robin,random,least-in-flight" doc:"How an upstream is chosen."`
	Concurrency        int      `toml:"concurrency" default:"256" min:"1" max:"100000" doc:"Requests in flight for each entry VM."`
	Queue              int      `toml:"queue" default:"512" min:"0" max:"100000" doc:"Requests that wait for each entry VM."`
	MaxRetries         int      `toml:"max_retries" default:"2" min:"0" max:"10" doc:"Retries of one request."`
	RetryPercent       int      `toml:"retry_percent" default:"10" min:"0" max:"100" doc:"Retries allowed as a percentage of requests."`
	RetryFloor         int      `toml:"retry_floor" default:"3" min:"0" max:"1000" doc:"Retries per second allowed besides retry_percent."`
	IdleCheck          Duration `toml:"idle_check" default:"2s" min:"100ms" max:"1m" doc:"Idle time after which a connection carries no non-idempotent request."`
	EjectAfter         int      `toml:"eject_after" default:"5" min:"1" max:"100" doc:"Consecutive failures after which an upstream is ejected."`
	EjectTime          Duration `toml:"eject_time" default:"5s" min:"100ms" max:"10m" doc:"First time without requests for an ejected upstream."`
	CrossRegion        bool     `toml:"cross_region" default:"true" doc:"Whether requests may go to upstreams of another region within the byte budget."`
	NonIdempotentAll   bool     `toml:"non_idempotent_all" default:"false" doc:"Treats every method as non-idempotent."`
	IdempotentPaths    []string `toml:"idempotent_paths" doc:"Path prefixes whose requests are idempotent with every method."`
	ObjectiveLatency   Duration `toml:"objective_latency" default:"500ms" min:"1ms" max:"10m" doc:"Latency within which a request counts as good."`
	ObjectivePermille  int      `toml:"objective_permille" default:"990" min:"1" max:"999" doc:"Good requests per thousand that the objective demands."`
	ObjectiveWindowDay int      `toml:"objective_window_days" default:"28" min:"1" max:"90" doc:"Days over which the error budget counts."`
}

// Team holds the settings of one team.
type Team struct {
	CPUCores     int   `toml:"cpu_cores" default:"0" min:"0" max:"10000000" doc:"Quota of processors in cores; 0 means no limit."`
	Memory       Bytes `toml:"memory" default:"0B" min:"0B" max:"1000PiB" doc:"Quota of memory; 0 means no limit."`
	Accelerators int   `toml:"accelerators" default:"0" min:"0" max:"1000000" doc:"Quota of accelerators; 0 means no limit."`
	Weight       int   `toml:"weight" default:"1" min:"1" max:"1000" doc:"Share among teams that wait for the same resources."`
}

// Schedule starts a job at a civil time.
type Schedule struct {
	Zone   string   `toml:"zone" default:"local" doc:"Name of a zone in the zone table."`
	Days   []string `toml:"days" doc:"Days of the week, mon to sun; empty means every day."`
	At     string   `toml:"at" default:"02:00" doc:"Civil time of day, HH:MM."`
	Job    string   `toml:"job" doc:"Name of the job."`
	Team   string   `toml:"team" doc:"Team that the job belongs to."`
	Tasks  int      `toml:"tasks" default:"1" min:"1" max:"10000" doc:"Tasks of the job."`
	CPU    int      `toml:"cpu_milli" default:"1000" min:"0" max:"1000000" doc:"Processor time of each task in thousandths of a core."`
	Memory Bytes    `toml:"memory" default:"1GiB" min:"0B" max:"100TiB" doc:"Memory of each task."`
	Kind   string   `toml:"kind" doc:"Kind of the tasks, for learned interference."`
}

// Zone holds time zone rules as settings, so that a change of the rules needs no new build.
type Zone struct {
	// Offsets maps each zone name to the changes of its offset from UTC.
	Offsets map[string][]ZoneOffset `toml:"offsets"`
}

// ZoneOffset is one change of a zone's offset.
type ZoneOffset struct {
	From   string `toml:"from" doc:"Instant from which the offset applies, RFC 3339 in UTC; empty for the first."`
	Offset string `toml:"offset" doc:"Offset from UTC, such as -05:00 or +01:00."`
}

// Duration is a time span written like "250ms", "2s" or "24h".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time span; write a number and a unit of ms, s, m or h", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the form that UnmarshalText reads.
func (d Duration) String() string { return time.Duration(d).String() }

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Bytes is a size written like "64KiB".
type Bytes int64

// BitRate is a rate in bits per second written like "30Mbit/s".
type BitRate int64

type unit struct {
	name   string
	factor int64
}

var byteUnits = []unit{{"PiB", 1 << 50}, {"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

var bitRateUnits = []unit{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}, {"bit/s", 1}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	v, err := parseUnit(string(text), "size", byteUnits)
	*b = Bytes(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// String returns the form that UnmarshalText reads.
func (b Bytes) String() string { return formatUnit(int64(b), byteUnits) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *BitRate) UnmarshalText(text []byte) error {
	v, err := parseUnit(string(text), "rate", bitRateUnits)
	*r = BitRate(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (r BitRate) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// String returns the form that UnmarshalText reads.
func (r BitRate) String() string { return formatUnit(int64(r), bitRateUnits) }

// BytesPerSecond returns the rate in bytes per second.
func (r BitRate) BytesPerSecond() int64 { return int64(r) / 8 }

func parseUnit(text, what string, units []unit) (int64, error) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<63-1)/u.factor {
			break
		}
		return n * u.factor, nil
	}
	names := make([]string, len(units))
	for i, u := range units {
		names[i] = u.name
	}
	return 0, fmt.Errorf("%q is no %s; write a whole number and a unit of %s", text, what, strings.Join(names, ", "))
}

func formatUnit(v int64, units []unit) string {
	for _, u := range units {
		if v >= u.factor && v%u.factor == 0 {
			return strconv.FormatInt(v/u.factor, 10) + u.name
		}
	}
	return strconv.FormatInt(v, 10) + units[len(units)-1].name
}
