package control

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/membership"
	"github.com/currantthread/currantthread/settings"
)

const (
	// storePollInterval is how often a relay reads the version row.
	storePollInterval = time.Second
	// relayWait is how long a relay holds a long-poll request while it has no newer version. It is short because a lost
	// response delays the next version by this time.
	relayWait = time.Second
	// callMargin is added to the wait of a call to get its deadline.
	callMargin = 500 * time.Millisecond
	// maxStoreAge is the age of a relay's last store read above which followers try the next relay or the store.
	maxStoreAge = 3 * time.Second
	// storeReadTimeout is the deadline of one read of the version row.
	storeReadTimeout = time.Second
	// minStoreBackoff and maxStoreBackoff bound the backoff after failed reads. The minimum is short because a single
	// lost message is more likely than an outage.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
)

// PeerClient is the client interface of an entry daemon in the same failure domain.
type PeerClient interface {
	FetchSettings(context.Context, *innerproto.FetchSettingsRequest) (*innerproto.FetchSettingsResponse, error)
}

// SettingsStore is the part of *Store that a follower reads.
type SettingsStore interface {
	Head(ctx context.Context) (Head, int64, error)
	Manifest(ctx context.Context, head Head) (Manifest, error)
	Level(ctx context.Context, digest string) (string, error)
}

// FollowerConfig holds a follower's place in the deployment and its dependencies.
type FollowerConfig struct {
	// VM, Region and Domain are those of the bootstrap file.
	VM, Region, Domain string
	// Relay is set for entry daemons. One of them per failure domain reads the store on behalf of the others.
	Relay bool
	Store SettingsStore
	// Entries returns the entry VMs of the failure domain.
	Entries func() []infra.VM
	// Dial returns a client of the entry daemon of a VM.
	Dial func(vm infra.VM) PeerClient
	Log  *logrus.Entry
	// Registry is where the follower's metrics are registered; nil registers none.
	Registry prometheus.Registerer
}

// activeSettings is the part of one settings version that applies to this VM. It is immutable.
type activeSettings struct {
	version int64
	// sources holds the levels of this failure domain and the levels that it inherits from.
	sources settings.Sources
	// digests maps the path of each level to its digest, and byDigest maps each digest to the text.
	digests   map[string]string
	byDigest  map[string]string
	effective settings.Effective
}

func newActiveSettings(version int64, sources settings.Sources, effective settings.Effective) activeSettings {
	active := activeSettings{
		version: version, sources: sources, effective: effective,
		digests: map[string]string{}, byDigest: map[string]string{},
	}
	for path, source := range sources {
		digest := settings.Digest(source)
		active.digests[path] = digest
		active.byDigest[digest] = source
	}
	return active
}

// Follower follows the settings of this VM: it fetches each new version from a relay or the store and activates it. The
// active version never decreases. It is safe for concurrent use.
type Follower struct {
	cfg     FollowerConfig
	metrics *followerMetrics

	mu          sync.Mutex // guards the fields below
	active      activeSettings
	changed     chan struct{} // closed and replaced with each new version
	subscribers []func(settings.Effective)
	synced      bool
	storeRead   time.Time // when the last successful store read, by this VM or a peer, was sent; zero if never
}

// NewFollower returns a follower whose active settings are the defaults.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg: cfg, metrics: newFollowerMetrics(cfg.Registry),
		changed: make(chan struct{}), active: activeSettings{effective: settings.Defaults()},
	}
}

// Current returns the active settings of this VM and their version. Version 0 means the defaults.
func (f *Follower) Current() (settings.Effective, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active.effective, f.active.version
}

// Effective returns the active settings of this VM.
func (f *Follower) Effective() settings.Effective {
	effective, _ := f.Current()
	return effective
}

// Synced reports whether the store or a peer has returned its current version since this process started.
func (f *Follower) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Subscribe calls notify immediately with the active settings and then with each later version, in order.
func (f *Follower) Subscribe(notify func(settings.Effective)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, notify)
	notify(f.active.effective)
}

// Start queries the store and all peers once and activates the highest version found. It returns an error if none of
// them responds. The daemon is not ready then, because it may have had a higher version active before its restart.
func (f *Follower) Start(ctx context.Context) error {
	peers := f.peers()
	results := make(chan error, len(peers)+1)
	go func() { results <- f.pollStore(ctx) }()
	for _, vm := range peers {
		go func() { results <- f.fetch(ctx, vm, 0) }()
	}
	err := errors.New("no settings source is available")
	for range len(peers) + 1 {
		if result := <-results; result != nil {
			err = result
		}
	}
	if !f.Synced() {
		return errors.Annotate(err, "active settings version is unknown")
	}
	return nil
}

// AwaitStart calls Start with backoff until it succeeds, and returns false if ctx ends first. Only the first failure is
// logged.
func (f *Follower) AwaitStart(ctx context.Context) bool {
	for backoff := minStoreBackoff; ; backoff = min(2*backoff, maxStoreBackoff) {
		err := f.Start(ctx)
		if err == nil {
			return true
		}
		if backoff == minStoreBackoff {
			f.cfg.Log.WithError(err).Warn("settings are unavailable from the store and all peers; retrying")
		}
		if !wait.For(ctx, jitter(backoff)) {
			return false
		}
	}
}

// Run fetches and activates new versions until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		switch {
		case f.followRelays(ctx):
			backoff = minStoreBackoff
		case f.pollStore(ctx) == nil:
			backoff = minStoreBackoff
			wait.For(ctx, jitter(storePollInterval))
		default:
			f.fetchFromAnyPeer(ctx)
			wait.For(ctx, jitter(backoff))
			backoff = min(2*backoff, maxStoreBackoff)
		}
	}
}

// fetchFromAnyPeer fetches settings from the first peer that responds.
func (f *Follower) fetchFromAnyPeer(ctx context.Context) {
	for _, vm := range f.peers() {
		if err := f.fetch(ctx, vm, 0); err == nil {
			return
		}
	}
}

// followRelays long-polls the relays in order of rank. It returns true if one of them responded and has read the store
// recently, in which case this VM does not need to read the store itself.
func (f *Follower) followRelays(ctx context.Context) bool {
	for _, vm := range f.relays() {
		if err := f.fetch(ctx, vm, relayWait); err != nil {
			continue
		}
		if f.storeAge() <= maxStoreAge {
			return true
		}
	}
	return false
}

// relays returns the entry VMs that rank before this VM as relays, in order. This VM tries them before it reads the store.
func (f *Follower) relays() []infra.VM {
	var before []infra.VM
	for _, vm := range membership.Rank("relay/"+f.cfg.Domain, f.cfg.Entries()) {
		if vm.ID == f.cfg.VM && f.cfg.Relay {
			break
		}
		before = append(before, vm)
	}
	return before
}

// peers returns the entry VMs of the failure domain whose entry daemon is not this process.
func (f *Follower) peers() []infra.VM {
	var peers []infra.VM
	for _, vm := range f.cfg.Entries() {
		if vm.ID != f.cfg.VM || !f.cfg.Relay {
			peers = append(peers, vm)
		}
	}
	return peers
}

// fetch requests a version newer than the active one from a peer, which may hold the request for hold, and activates it.
func (f *Follower) fetch(ctx context.Context, vm infra.VM, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, hold+callMargin)
	defer cancel()
	active := f.snapshot()
	sent := time.Now()
	response, err := f.cfg.Dial(vm).FetchSettings(ctx, &innerproto.FetchSettingsRequest{
		KnownVersion: active.version,
		WaitMs:       hold.Milliseconds(),
		Have:         slices.Sorted(maps.Keys(active.byDigest)),
	})
	f.metrics.countRead(sourcePeer, err)
	if err != nil {
		return err
	}
	f.recordSync(sent, response.StoreAgeMs)
	if response.Version <= active.version {
		return nil
	}
	sources, err := assemble(active.byDigest, response.Levels)
	if err != nil {
		return err
	}
	return f.apply(response.Version, sources)
}

// assemble returns the sources of a peer's response. The peer omits the text of levels that this VM has cached.
func assemble(cached map[string]string, levels []*innerproto.SettingsLevel) (settings.Sources, error) {
	sources := settings.Sources{}
	for _, level := range levels {
		source := level.Source
		if source == "" {
			source = cached[level.Digest]
		}
		if settings.Digest(source) != level.Digest {
			return nil, errors.Errorf("text of level %s does not match its digest", level.Path)
		}
		sources[level.Path] = source
	}
	return sources, nil
}

// pollStore reads the version row. If the version is newer than the active one, it downloads the missing levels and
// activates it.
func (f *Follower) pollStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	sent := time.Now()
	head, _, err := f.cfg.Store.Head(ctx)
	f.metrics.countRead(sourceStore, err)
	if err != nil {
		return err
	}
	f.recordSync(sent, 0)
	active := f.snapshot()
	if head.Version <= active.version {
		return nil
	}
	sources, err := f.download(ctx, head, active.byDigest)
	if err != nil {
		return err
	}
	return f.apply(head.Version, sources)
}

// download returns the sources of a version that this VM uses. It reads only levels that are not cached.
func (f *Follower) download(ctx context.Context, head Head, cached map[string]string) (settings.Sources, error) {
	manifest, err := f.cfg.Store.Manifest(ctx, head)
	if err != nil {
		return nil, err
	}
	sources := settings.Sources{}
	for path, digest := range manifest {
		if !f.inheritsFrom(path) {
			continue
		}
		source, ok := cached[digest]
		if !ok {
			if source, err = f.cfg.Store.Level(ctx, digest); err != nil {
				return nil, err
			}
		}
		sources[path] = source
	}
	return sources, nil
}

// inheritsFrom reports whether a level is in this failure domain or is inherited by it.
func (f *Follower) inheritsFrom(path string) bool {
	region := "/" + f.cfg.Region
	domain := region + "/" + f.cfg.Domain
	return path == settings.Root || path == region || path == domain || strings.HasPrefix(path, domain+"/")
}

// apply activates a version unless the active one is the same or newer.
func (f *Follower) apply(version int64, sources settings.Sources) error {
	tree, err := settings.Parse(sources)
	if err != nil {
		return errors.Annotatef(err, "settings version %d", version)
	}
	effective := tree.Resolve("/" + f.cfg.Region + "/" + f.cfg.Domain + "/" + f.cfg.VM)
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.active.version {
		return nil
	}
	f.cfg.Log.WithFields(logrus.Fields{"from": f.active.version, "to": version}).Info("activated new settings version")
	f.metrics.version.Set(float64(version))
	f.active = newActiveSettings(version, sources, effective)
	close(f.changed)
	f.changed = make(chan struct{})
	for _, notify := range f.subscribers {
		notify(effective)
	}
	return nil
}

// recordSync marks the follower as synced and records that the store was read ageMillis before sent. A negative age means
// that the source does not know when the store was last read.
func (f *Follower) recordSync(sent time.Time, ageMillis int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	if ageMillis < 0 {
		return
	}
	read := sent.Add(-time.Duration(ageMillis) * time.Millisecond)
	if read.After(f.storeRead) {
		f.storeRead = read
	}
}

func (f *Follower) snapshot() activeSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

// storeAge returns the time since the last store read that this VM knows of.
func (f *Follower) storeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeRead.IsZero() {
		return 1<<63 - 1
	}
	return time.Since(f.storeRead)
}

// FetchSettings handles a peer's request. It responds immediately if the active version is newer than the peer's, and
// otherwise waits for a newer one for up to the requested time.
func (f *Follower) FetchSettings(ctx context.Context, req *innerproto.FetchSettingsRequest) (*innerproto.FetchSettingsResponse, error) {
	f.awaitNewer(ctx, req.KnownVersion, time.Duration(req.WaitMs)*time.Millisecond)
	active := f.snapshot()
	response := &innerproto.FetchSettingsResponse{Version: active.version, StoreAgeMs: -1}
	// An older read is reported as unknown (-1).
	if age := f.storeAge(); age < time.Hour {
		response.StoreAgeMs = age.Milliseconds()
	}
	if active.version <= req.KnownVersion {
		return response, nil
	}
	peerHas := map[string]bool{}
	for _, digest := range req.Have {
		peerHas[digest] = true
	}
	for path, source := range active.sources {
		level := &innerproto.SettingsLevel{Path: path, Digest: active.digests[path], Source: source}
		if peerHas[level.Digest] {
			level.Source = ""
		}
		response.Levels = append(response.Levels, level)
	}
	return response, nil
}

// awaitNewer waits until the active version is newer than known, for at most timeout.
func (f *Follower) awaitNewer(ctx context.Context, known int64, timeout time.Duration) {
	f.mu.Lock()
	newer, changed := f.active.version > known, f.changed
	f.mu.Unlock()
	if newer || timeout <= 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// jitter returns a random duration of 90% to 110% of d, so that daemons restarted together do not poll in lockstep.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
