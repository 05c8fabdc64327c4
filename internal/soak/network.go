package main

import (
	"context"
	"strings"
	"time"

	"github.com/currantthread/currantthread/internal/emulator"
	"github.com/currantthread/currantthread/store"
)

// link is the link from one node to the store, a runner or another node.
type link struct {
	*emulator.Link
	from, to string
}

// network is all links of all nodes.
type network []link

// between returns the links from one party to another; "" matches any.
func (n network) between(from, to string) network {
	var links network
	for _, l := range n {
		if (from == "" || l.from == from) && (to == "" || l.to == to) {
			links = append(links, l)
		}
	}
	return links
}

// each returns a function that changes all links.
func (n network) each(change func(*emulator.Link)) func() {
	return func() {
		for _, l := range n {
			change(l.Link)
		}
	}
}

// storeView is the store as one node sees it: rows name the addresses of the node's links instead of the real ones.
type storeView struct {
	store.Store
	addrs *strings.Replacer
}

func (v *storeView) rewrite(page store.Page, err error) (store.Page, error) {
	rows := make([]store.Row, 0, len(page.Rows))
	for _, row := range page.Rows {
		row.Value = []byte(v.addrs.Replace(string(row.Value)))
		rows = append(rows, row)
	}
	page.Rows = rows
	return page, err
}

// Range implements store.Store.
func (v *storeView) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return v.rewrite(v.Store.Range(ctx, table, part, from, to, limit))
}

// Feed implements store.Store.
func (v *storeView) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	return v.rewrite(v.Store.Feed(ctx, table, after, wait))
}
