// Package limit bounds the load that an entry VM accepts and causes: an admission queue with a concurrency limit for
// each service, retry budgets, and budgets of bytes sent between regions.
package limit
