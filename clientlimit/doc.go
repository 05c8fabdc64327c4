// Package clientlimit bounds what connections of untrusted clients hold: their number, and the bytes of heads, bodies, decoded requests and
// responses together. A Limiter wraps the listeners of net/http servers. When a budget is used up, it closes the connections that hold most
// for longest without progress, and accepts new ones. A PeerLimiter bounds what other nodes hold. The package knows nothing of jobs.
//
// See docs/design/client-limits.md.
package clientlimit
