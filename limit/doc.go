// Package limit bounds what an entry VM takes on: an admission queue with a concurrency limit for each service, budgets
// of retries, and budgets of bytes between regions.
package limit
