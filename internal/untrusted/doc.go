// Package untrusted tests what clients that mean harm can do to the process of a node. Its tests start cmd/currantthread with lowered
// limits against the emulated platform and send it few but costly connections. They measure the memory and the open descriptors of that
// process, so they run one at a time and apart from other load; see scripts/test.sh.
package untrusted
