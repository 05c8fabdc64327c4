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
	// relayWait is how long a relay holds a request while it has nothing new. It is short, because a lost answer
	// delays the next version by as much.
	relayWait = time.Second
	// callMargin is added to relayWait for the deadline of a call.
	callMargin = 500 * time.Millisecond
	// maxStoreAge is the age of a relay's last read of the store above which followers look elsewhere.
	maxStoreAge = 3 * time.Second
	// storeReadTimeout is the deadline of one read of the version row.
	storeReadTimeout = time.Second
	// minStoreBackoff and maxStoreBackoff bound the time between reads after a failure. The first is short, because a
	// single lost message is more likely than an outage.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
)

// Peer is another daemon of the same failure domain.
type Peer interface {
	FetchSettings(context.Context, *innerproto.FetchSettingsRequest) (*innerproto.FetchSettingsResponse, error)
}

// SettingsStore is where a relay reads settings. *Store implements it.
type SettingsStore interface {
	Head(ctx context.Context) (Head, int64, error)
	Manifest(ctx context.Context, head Head) (Manifest, error)
	Level(ctx context.Context, digest string) (string, error)
}

// FollowerConfig says where a follower stands.
type FollowerConfig struct {
	// VM, Region and Domain are those of the bootstrap file.
	VM, Region, Domain string
	// Relay is set for entry daemons: one of them per failure domain reads the store for all.
	Relay bool
	Store SettingsStore
	// Entries returns the entry VMs of the failure domain.
	Entries func() []infra.VM
	// Dial returns the entry daemon of a VM as a peer.
	Dial func(vm infra.VM) Peer
	Log  *logrus.Entry
	// Registry takes the follower's metrics; nil registers none.
	Registry prometheus.Registerer
}

// inForce is one version of the tree as this VM has it. It is immutable.
type inForce struct {
	version int64
	// sources are the levels of this failure domain and those that it inherits from.
	sources settings.Sources
	// digests holds the digest of each level by its path, and byDigest its text by the digest.
	digests   map[string]string
	byDigest  map[string]string
	effective settings.Effective
}

func newInForce(version int64, sources settings.Sources, effective settings.Effective) inForce {
	now := inForce{
		version: version, sources: sources, effective: effective,
		digests: map[string]string{}, byDigest: map[string]string{},
	}
	for path, source := range sources {
		digest := settings.Digest(source)
		now.digests[path] = digest
		now.byDigest[digest] = source
	}
	return now
}

// Follower keeps the newest settings of this VM in force. Versions only ever grow. It is safe for concurrent use.
type Follower struct {
	cfg     FollowerConfig
	metrics *followerMetrics

	mu          sync.Mutex // guards the fields below
	now         inForce
	changed     chan struct{} // closed and replaced with each new version
	subscribers []func(settings.Effective)
	synced      bool
	storeRead   time.Time // when the last successful read of the store was sent; zero if never
}

// NewFollower returns a follower with the default settings in force.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg: cfg, metrics: newFollowerMetrics(cfg.Registry),
		changed: make(chan struct{}), now: inForce{effective: settings.Defaults()},
	}
}

// Current returns the settings in force on this VM and their version. Version 0 means the defaults.
func (f *Follower) Current() (settings.Effective, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.effective, f.now.version
}

// Effective returns the settings in force on this VM.
func (f *Follower) Effective() settings.Effective {
	effective, _ := f.Current()
	return effective
}

// Synced reports whether the store or a peer told the version in force since this process started.
func (f *Follower) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Subscribe calls notify with the settings in force now and with each later version, in order.
func (f *Follower) Subscribe(notify func(settings.Effective)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, notify)
	notify(f.now.effective)
}

// Start asks the store and all peers once and takes the highest version that any of them has. It returns an error if
// none of them answered; the daemon is then not ready, since it may have had a higher version before it restarted.
func (f *Follower) Start(ctx context.Context) error {
	peers := f.peers()
	results := make(chan error, len(peers)+1)
	go func() { results <- f.pollStore(ctx) }()
	for _, vm := range peers {
		go func() { results <- f.fetch(ctx, vm, 0) }()
	}
	err := errors.New("no source of settings")
	for range len(peers) + 1 {
		if result := <-results; result != nil {
			err = result
		}
	}
	if !f.Synced() {
		return errors.Annotate(err, "settings version in force is unknown")
	}
	return nil
}

// AwaitStart calls Start until it succeeds, and reports false if ctx ends first. The wait is logged once.
func (f *Follower) AwaitStart(ctx context.Context) bool {
	for backoff := minStoreBackoff; ; backoff = min(2*backoff, maxStoreBackoff) {
		err := f.Start(ctx)
		if err == nil {
			return true
		}
		if backoff == minStoreBackoff {
			f.cfg.Log.WithError(err).Warn("waiting for the settings in force")
		}
		if !wait.For(ctx, jitter(backoff)) {
			return false
		}
	}
}

// Run follows new versions until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		switch {
		case f.followPeers(ctx):
			backoff = minStoreBackoff
		case f.pollStore(ctx) == nil:
			backoff = minStoreBackoff
			wait.For(ctx, jitter(storePollInterval))
		default:
			f.askAnyPeer(ctx)
			wait.For(ctx, jitter(backoff))
			backoff = min(2*backoff, maxStoreBackoff)
		}
	}
}

// askAnyPeer takes the version of the first peer that answers.
func (f *Follower) askAnyPeer(ctx context.Context) {
	for _, vm := range f.peers() {
		if err := f.fetch(ctx, vm, 0); err == nil {
			return
		}
	}
}

// followPeers asks the peers that rank before this VM as relays, first to last. It reports whether one of them answered
// and is itself fresh, so that this VM need not read the store.
func (f *Follower) followPeers(ctx context.Context) bool {
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

// relays returns the entry VMs that this VM asks before it reads the store itself.
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

func (f *Follower) peers() []infra.VM {
	var peers []infra.VM
	for _, vm := range f.cfg.Entries() {
		if vm.ID != f.cfg.VM || !f.cfg.Relay {
			peers = append(peers, vm)
		}
	}
	return peers
}

// fetch asks a peer for a version above the one in force.
func (f *Follower) fetch(ctx context.Context, vm infra.VM, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	now := f.snapshot()
	sent := time.Now()
	response, err := f.cfg.Dial(vm).FetchSettings(ctx, &innerproto.FetchSettingsRequest{
		KnownVersion: now.version,
		WaitMs:       wait.Milliseconds(),
		Have:         slices.Sorted(maps.Keys(now.byDigest)),
	})
	f.metrics.read(sourcePeer, err)
	if err != nil {
		return err
	}
	f.confirm(sent, response.StoreAgeMs)
	if response.Version <= now.version {
		return nil
	}
	sources, err := assemble(now.byDigest, response.Levels)
	if err != nil {
		return err
	}
	return f.apply(response.Version, sources)
}

// assemble puts the levels of an answer together with the text that this VM already had.
func assemble(held map[string]string, levels []*innerproto.SettingsLevel) (settings.Sources, error) {
	sources := settings.Sources{}
	for _, level := range levels {
		source := level.Source
		if source == "" {
			source = held[level.Digest]
		}
		if settings.Digest(source) != level.Digest {
			return nil, errors.Errorf("text of level %s does not match its digest", level.Path)
		}
		sources[level.Path] = source
	}
	return sources, nil
}

// pollStore reads the version row and, if it is above the version in force, the levels that this VM lacks.
func (f *Follower) pollStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	sent := time.Now()
	head, _, err := f.cfg.Store.Head(ctx)
	f.metrics.read(sourceStore, err)
	if err != nil {
		return err
	}
	f.confirm(sent, 0)
	now := f.snapshot()
	if head.Version <= now.version {
		return nil
	}
	sources, err := f.download(ctx, head, now.byDigest)
	if err != nil {
		return err
	}
	return f.apply(head.Version, sources)
}

func (f *Follower) download(ctx context.Context, head Head, held map[string]string) (settings.Sources, error) {
	manifest, err := f.cfg.Store.Manifest(ctx, head)
	if err != nil {
		return nil, err
	}
	sources := settings.Sources{}
	for path, digest := range manifest {
		if !f.concerns(path) {
			continue
		}
		source, ok := held[digest]
		if !ok {
			if source, err = f.cfg.Store.Level(ctx, digest); err != nil {
				return nil, err
			}
		}
		sources[path] = source
	}
	return sources, nil
}

// concerns reports whether a level belongs to this failure domain or is inherited by it.
func (f *Follower) concerns(path string) bool {
	region := "/" + f.cfg.Region
	domain := region + "/" + f.cfg.Domain
	return path == settings.Root || path == region || path == domain || strings.HasPrefix(path, domain+"/")
}

// apply puts a version in force unless a higher one already is.
func (f *Follower) apply(version int64, sources settings.Sources) error {
	tree, err := settings.Parse(sources)
	if err != nil {
		return errors.Annotatef(err, "settings version %d", version)
	}
	effective := tree.Resolve("/" + f.cfg.Region + "/" + f.cfg.Domain + "/" + f.cfg.VM)
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.now.version {
		return nil
	}
	f.cfg.Log.WithFields(logrus.Fields{"from": f.now.version, "to": version}).Info("settings version in force changed")
	f.metrics.version.Set(float64(version))
	f.now = newInForce(version, sources, effective)
	close(f.changed)
	f.changed = make(chan struct{})
	for _, notify := range f.subscribers {
		notify(effective)
	}
	return nil
}

// confirm notes that a source told the version that was in force ageMillis before sent.
func (f *Follower) confirm(sent time.Time, ageMillis int64) {
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

func (f *Follower) snapshot() inForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *Follower) storeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeRead.IsZero() {
		return 1<<63 - 1
	}
	return time.Since(f.storeRead)
}

// FetchSettings answers a peer: at once if this VM has a version above the peer's, otherwise after the wait.
func (f *Follower) FetchSettings(ctx context.Context, req *innerproto.FetchSettingsRequest) (*innerproto.FetchSettingsResponse, error) {
	f.awaitAbove(ctx, req.KnownVersion, time.Duration(req.WaitMs)*time.Millisecond)
	now := f.snapshot()
	response := &innerproto.FetchSettingsResponse{Version: now.version, StoreAgeMs: -1}
	if age := f.storeAge(); age < time.Hour {
		response.StoreAgeMs = age.Milliseconds()
	}
	if now.version <= req.KnownVersion {
		return response, nil
	}
	held := map[string]bool{}
	for _, digest := range req.Have {
		held[digest] = true
	}
	for path, source := range now.sources {
		level := &innerproto.SettingsLevel{Path: path, Digest: now.digests[path], Source: source}
		if held[level.Digest] {
			level.Source = ""
		}
		response.Levels = append(response.Levels, level)
	}
	return response, nil
}

// awaitAbove waits until the version in force is above known, for at most wait.
func (f *Follower) awaitAbove(ctx context.Context, known int64, wait time.Duration) {
	f.mu.Lock()
	above, changed := f.now.version > known, f.changed
	f.mu.Unlock()
	if above || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// jitter spreads d over 90% to 110%, so that daemons restarted together do not poll together.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
