package catalog

import (
	"crypto/sha256"
	"errors"

	"github.com/currantthread/currantthread/workload"
)

// Organisation is a customer that shares the runners with others.
type Organisation struct {
	Name string
	// Weight is the organisation's share, relative to those of the others, when all capacity is in use.
	Weight float64
	// Cap bounds what its tasks may hold on all runners together. An amount of 0 means no bound.
	Cap workload.Resources
}

// Anonymous stands for callers without a key where the configuration has organisations. They may read and cancel jobs without an organisation
// only. No organisation has this name.
const Anonymous = "\x00"

// keyDigest is the SHA-256 digest of a key. Comparing digests takes no longer for keys that nearly match.
type keyDigest [sha256.Size]byte

var (
	errSharedKey = errors.New("two organisations have the same key")
	errEmptyKey  = errors.New("an organisation has an empty key")
)

// AddOrganisation adds an organisation and its keys, of which only the digests are kept.
func (c *Config) AddOrganisation(o Organisation, keys []string) error {
	if c.Organisations == nil {
		c.Organisations, c.keys = map[string]*Organisation{}, map[keyDigest]string{}
	}
	for _, key := range keys {
		if key == "" {
			return errEmptyKey
		}
		digest := keyDigest(sha256.Sum256([]byte(key)))
		if name, ok := c.keys[digest]; ok && name != o.Name {
			return errSharedKey
		}
		c.keys[digest] = o.Name
	}
	c.Organisations[o.Name] = &o
	return nil
}

// OrganisationOf returns the name of the organisation that has a key.
func (c *Config) OrganisationOf(key string) (name string, ok bool) {
	name, ok = c.keys[sha256.Sum256([]byte(key))]
	return name, ok
}
