package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/currantthread/currantthread/infra"
	"github.com/currantthread/currantthread/route"
)

var epoch = time.Date(2027, 3, 7, 8, 0, 0, 0, time.UTC)

var local = route.Locality{Region: "caldas-centro", Domain: "chipre"}

func upstreams(region, domain string, n int) []infra.VM {
	vms := make([]infra.VM, n)
	for i := range vms {
		vms[i] = infra.VM{ID: fmt.Sprintf("%s-%d", domain, i), Role: infra.RoleUpstream, State: infra.VMLive,
			Region: region, Domain: domain, Addr: fmt.Sprintf("127.1.0.%d:7000", i+1), Service: "kioscos", Slots: 8}
	}
	return vms
}

func newSet(vms []infra.VM, cfg route.Config) *route.Set {
	cfg.Seed = 1
	set := route.NewSetAt(epoch, local, cfg)
	set.UpdateAt(epoch, vms)
	return set
}

// Requests must stay in the failure domain while it has endpoints with free slots, and must not go to another region
// without permission.
func TestPickPrefersNear(t *testing.T) {
	near := upstreams("caldas-centro", "chipre", 2)
	region := upstreams("caldas-centro", "la-enea", 2)
	far := upstreams("valle-norte", "cartago", 2)
	cases := []struct {
		name   string
		vms    []infra.VM
		cross  bool
		domain string
	}{
		{"local domain", append(append(append([]infra.VM{}, far...), region...), near...), true, "chipre"},
		{"local region", append(append([]infra.VM{}, far...), region...), true, "la-enea"},
		{"other region", far, true, "cartago"},
		{"other region refused", far, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := newSet(c.vms, route.Config{})
			for range 100 {
				e, err := set.PickAt(epoch, nil, c.cross)
				if c.domain == "" {
					assert.ErrorIs(t, err, route.ErrNoEndpoint)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, e.Domain, c.domain)
			}
		})
	}
}

// The slots of leaving upstreams and of regions that may not be used must not count.
func TestSlots(t *testing.T) {
	set := newSet(append(upstreams("caldas-centro", "la-enea", 3), upstreams("valle-norte", "cartago", 2)...), route.Config{})
	assert.Equal(t, set.Slots(false), 24)
	assert.Equal(t, set.Slots(true), 40)
	exchange(set.Endpoints()[0], epoch, route.Result{Outcome: route.OutcomeRefused, Leaving: true})
	assert.Equal(t, set.Slots(false), 16)
}
