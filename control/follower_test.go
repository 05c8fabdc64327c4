package control_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/control"
	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/innerproto"
	"github.com/currantthread/currantthread/internal/standin"
	"github.com/currantthread/currantthread/settings"
)

var errCut = errors.New("cut off")

// network simulates a network that loses messages and partitions failure domains from the store.
type network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	loss     float64
	storeCut map[string]bool
	daemons  map[string]*control.Follower // keys are "VM/entry" and "VM/sched"
}

// lose decides at random whether a message is lost. If so, it blocks until the caller's deadline and returns the error.
func (n *network) lose(ctx context.Context) error {
	n.mu.Lock()
	lost := n.rng.Float64() < n.loss
	n.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *network) daemon(name string) *control.Follower {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.daemons[name]
}

type lossyPeer struct {
	net *network
	vm  string
}

func (p lossyPeer) FetchSettings(ctx context.Context, req *innerproto.FetchSettingsRequest) (*innerproto.FetchSettingsResponse, error) {
	if err := p.net.lose(ctx); err != nil {
		return nil, err
	}
	target := p.net.daemon(p.vm + "/entry")
	if target == nil {
		return nil, errCut
	}
	response, err := target.FetchSettings(ctx, req)
	if lost := p.net.lose(ctx); lost != nil {
		return nil, lost
	}
	return response, err
}

type lossyStore struct {
	*control.Store
	net    *network
	domain string
}

func (s lossyStore) Head(ctx context.Context) (control.Head, int64, error) {
	s.net.mu.Lock()
	cut := s.net.storeCut[s.domain]
	s.net.mu.Unlock()
	if cut {
		return control.Head{}, 0, &infra.UnavailableError{Err: errCut}
	}
	if err := s.net.lose(ctx); err != nil {
		return control.Head{}, 0, err
	}
	return s.Store.Head(ctx)
}

// cluster is a set of failure domains whose daemons follow the same store.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	net   *network
	store *control.Store
	stops map[string]context.CancelFunc
}

func newCluster(t *testing.T, loss float64) *cluster {
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{t: t, ctx: ctx, stops: map[string]context.CancelFunc{}}
	c.net = &network{
		rng: rand.New(rand.NewPCG(1, 2)), loss: loss,
		storeCut: map[string]bool{}, daemons: map[string]*control.Follower{},
	}
	c.store = control.NewStore(standin.NewTable(), standin.NewObjects(), "api/test")
	t.Cleanup(cancel)
	return c
}

const vmsPerDomain = 3

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

func entries(domain string) []infra.VM {
	vms := make([]infra.VM, vmsPerDomain)
	for i := range vms {
		vms[i] = infra.VM{ID: fmt.Sprintf("%s-e%d", domain, i), Role: infra.RoleEntry, Domain: domain}
	}
	return vms
}

func (c *cluster) startDomain(domain string) {
	for _, vm := range entries(domain) {
		c.start(domain, vm.ID, true)
		c.start(domain, vm.ID, false)
	}
}

// start runs one daemon and returns the error of its Start.
func (c *cluster) start(domain, vm string, relay bool) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := control.NewFollower(control.FollowerConfig{
		VM: vm, Region: "r", Domain: domain, Relay: relay,
		Store:   lossyStore{Store: c.store, net: c.net, domain: domain},
		Entries: func() []infra.VM { return entries(domain) },
		Dial:    func(vm infra.VM) control.PeerClient { return lossyPeer{net: c.net, vm: vm.ID} },
		Log:     logrus.NewEntry(log),
	})
	ctx, cancel := context.WithCancel(c.ctx)
	name := vm + "/sched"
	if relay {
		name = vm + "/entry"
	}
	err := f.Start(ctx)
	c.net.mu.Lock()
	c.net.daemons[name] = f
	c.net.mu.Unlock()
	c.stops[name] = cancel
	go f.Run(ctx)
	return err
}

func (c *cluster) stop(name string) {
	c.stops[name]()
	c.net.mu.Lock()
	delete(c.net.daemons, name)
	c.net.mu.Unlock()
}

func (c *cluster) apply(parent int64, queue int) int64 {
	source := fmt.Sprintf("[service.s]\nqueue = %d\n", queue)
	version, err := c.store.Apply(c.ctx, parent, settings.Sources{"/": source}, "op", "")
	assert.NilError(c.t, err)
	return version
}

// behind returns the daemons whose active version is older.
func (c *cluster) behind(version int64) []string {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	var names []string
	for name, f := range c.net.daemons {
		if _, have := f.Current(); have < version {
			names = append(names, name)
		}
	}
	return names
}

// A settings version reaches every daemon of 22 failure domains within 8 s when 5% of messages are lost (figure F8).
// The test distributes twenty versions one after another.
func TestVersionReachesEveryDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0.05)
		for i := range 22 {
			c.startDomain(domainName(i))
		}
		version := int64(0)
		worst := time.Duration(0)
		for i := range 20 {
			time.Sleep(time.Duration(137*i) * time.Millisecond)
			version = c.apply(version, i+1)
			accepted := time.Now()
			for len(c.behind(version)) > 0 && time.Since(accepted) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			worst = max(worst, time.Since(accepted))
		}
		t.Logf("worst distribution time over 20 versions: %v", worst)
		assert.Assert(t, worst <= 8*time.Second, "took %v", worst)
	})
}

// The active version of a daemon must not decrease while relays restart, while the failure domain is partitioned from the
// store, or when the partition heals.
func TestVersionNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0.2)
		c.startDomain("d")
		seen := map[*control.Follower]int64{}
		check := func() {
			c.net.mu.Lock()
			defer c.net.mu.Unlock()
			for name, f := range c.net.daemons {
				_, version := f.Current()
				assert.Assert(t, version >= seen[f], "%s went from %d to %d", name, seen[f], version)
				seen[f] = version
			}
		}
		version := int64(0)
		for i := range 60 {
			version = c.apply(version, i+1)
			c.net.mu.Lock()
			c.net.storeCut["d"] = i%7 > 3
			c.net.mu.Unlock()
			vm := entries("d")[i%vmsPerDomain].ID
			if i%5 == 0 {
				c.stop(vm + "/entry")
				_ = c.start("d", vm, true)
			}
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				check()
			}
		}
	})
}

// While the store is unreachable, a restarted daemon takes the version of its peers rather than an older one. Without
// peers it reports that the version is unknown.
func TestRestartTakesHighestVersionOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0)
		c.startDomain("d")
		version := c.apply(0, 7)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(c.behind(version)), 0)
		c.net.storeCut["d"] = true
		vm := entries("d")[0].ID
		c.stop(vm + "/entry")
		assert.NilError(t, c.start("d", vm, true))
		assert.Equal(t, len(c.behind(version)), 0)
		assert.Equal(t, c.net.daemon(vm + "/entry").Effective().Services["s"].Queue, 7)

		c.net.storeCut["alone"] = true
		assert.ErrorContains(t, c.start("alone", "alone-e0", true), "unknown")
	})
}

// Of two concurrent changes one must fail with a conflict rather than be overwritten silently, also if the response to
// the first commit is lost.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, objects := standin.NewTable(), standin.NewObjects()
		first := control.NewStore(table, objects, "api/1")
		second := control.NewStore(table, objects, "api/2")
		base := settings.Sources{"/": "[service.s]\nqueue = 1\ntimeout = \"1s\"\n"}
		version, err := first.Apply(t.Context(), 0, base, "a", "")
		assert.NilError(t, err)
		table.SetFaults(standin.TableFaults{LoseResponses: 1})
		_, err = first.Apply(t.Context(), version, settings.Sources{"/": "[service.s]\nqueue = 2\ntimeout = \"1s\"\n"}, "a", "")
		assert.NilError(t, err)
		_, err = second.Apply(t.Context(), version, settings.Sources{"/": "[service.s]\nqueue = 3\ntimeout = \"1s\"\n"}, "b", "")
		var stale *control.StaleParentError
		assert.Assert(t, errors.As(err, &stale))
		assert.DeepEqual(t, stale, &control.StaleParentError{
			Parent: 1, Current: 2,
			Conflicts: []settings.Change{{Level: "/", Key: "service.s.queue", Old: "2", New: "3"}},
		})
		head, _, err := second.Head(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, head.Author, "a")
		heads, err := second.History(t.Context(), 10)
		assert.NilError(t, err)
		assert.Equal(t, len(heads), 2)
		assert.Equal(t, heads[0].Version, int64(2))
	})
}
