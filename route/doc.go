// Package route chooses an upstream for each request among the endpoints of a service. It does no I/O.
//
// A Set holds the endpoints of one service from the perspective of one entry VM. Choosing an endpoint reads only an
// immutable snapshot and atomic counters: it takes no lock and allocates nothing. Changes of the snapshot (a new VM list,
// an upstream that is leaving) and ejections take the set's lock.
package route
