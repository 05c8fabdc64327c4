package emulator

import (
	"context"
	"strings"
	"time"

	"github.com/currantthread/currantthread/store"
)

// StoreView is a store in whose rows readers find other addresses than the writers stored, such as those of links.
type StoreView struct {
	store.Store
	Addrs *strings.Replacer
}

func (v *StoreView) rewrite(page store.Page, err error) (store.Page, error) {
	rows := make([]store.Row, 0, len(page.Rows))
	for _, row := range page.Rows {
		row.Value = []byte(v.Addrs.Replace(string(row.Value)))
		rows = append(rows, row)
	}
	page.Rows = rows
	return page, err
}

// Range implements store.Store.
func (v *StoreView) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return v.rewrite(v.Store.Range(ctx, table, part, from, to, limit))
}

// Feed implements store.Store.
func (v *StoreView) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	return v.rewrite(v.Store.Feed(ctx, table, after, wait))
}
