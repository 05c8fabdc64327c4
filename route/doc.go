// Package route chooses an upstream for each request among the endpoints of a service. It does no I/O.
//
// A Set holds the endpoints of one service as one entry VM sees them. Choosing reads an immutable snapshot and atomic
// counters only: it takes no lock and allocates nothing. Changes of the snapshot (a new VM list, an upstream that
// leaves) and ejections take the set's lock.
package route
