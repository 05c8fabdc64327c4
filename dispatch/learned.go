package dispatch

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/currantthread/currantthread/interference"
	"github.com/currantthread/currantthread/internal/wait"
	"github.com/currantthread/currantthread/store"
)

// TablePressure holds what each cell has learned of interference. Its rows are written with the commits of the cell. They are hints: a
// cell without them learns everything itself.
const TablePressure = "pressure"

const (
	// pressureInterval is how often a cell writes what it has learned and reads that of others.
	pressureInterval = 2 * time.Second
	// maxPressurePeers bounds the cells that a cell reads, so that the cost of a cell does not grow with their number.
	maxPressurePeers = 8
)

// addPressure adds the row with what the cell has learned to a batch, if it is due. The caller holds mu.
func (c *Cell) addPressure(now time.Time, b *batch) {
	if now.Sub(c.pressureWrittenAt) < pressureInterval || b.txn.Entries()+1 > store.MaxTxnEntries {
		return
	}
	summary := c.pressure.Summary()
	if len(summary.Images) == 0 {
		return
	}
	c.pressureWrittenAt = now
	row, err := json.Marshal(summary)
	if err == nil {
		row, err = compress(row)
	}
	if err == nil {
		err = checkRowSize(row)
	}
	if err != nil {
		c.cfg.Log.WithField("cell", c.cfg.Name).WithError(err).Error("row of learned interference can't be encoded")
		return
	}
	b.txn.Writes = append(b.txn.Writes, store.Write{Key: c.key(TablePressure, c.cfg.Name), Value: row})
}

// pressureLoop continues with what earlier owners of the cell have learned, and then follows what other cells learn.
func (c *Cell) pressureLoop(ctx context.Context) {
	for restored := false; !restored; {
		summary, err := c.readPressure(ctx, c.cfg.Part, c.cfg.Name)
		if err == nil {
			c.mu.Lock()
			c.pressure.Restore(summary)
			c.mu.Unlock()
			restored = true
			continue
		}
		if !wait.For(ctx, pressureInterval) {
			return
		}
	}
	if c.cfg.Peers == nil {
		return
	}
	for wait.For(ctx, pressureInterval) {
		peers := c.pressurePeers()
		summaries := make([]interference.Summary, 0, len(peers))
		for _, cell := range peers {
			summary, err := c.readPressure(ctx, c.cfg.Peers.Part(cell), cell)
			if err != nil {
				c.cfg.Log.WithFields(logrus.Fields{"cell": c.cfg.Name, "peer": cell, "error": err.Error()}).Debug("could not read what another cell has learned")
				continue
			}
			summaries = append(summaries, summary)
		}
		if len(summaries) == 0 {
			continue
		}
		c.mu.Lock()
		c.pressure.SetPeers(summaries)
		c.mu.Unlock()
	}
}

// pressurePeers returns the cells whose rows this cell reads: those that follow it in the list of cells.
func (c *Cell) pressurePeers() []string {
	cells := c.cfg.Peers.Cells()
	i := slices.Index(cells, c.cfg.Name)
	if i < 0 {
		return nil
	}
	others := append(slices.Clone(cells[i+1:]), cells[:i]...)
	return others[:min(len(others), maxPressurePeers)]
}

// readPressure reads what a cell has learned; nothing if it has not written it yet.
func (c *Cell) readPressure(ctx context.Context, part, cell string) (interference.Summary, error) {
	row, err := c.readRow(ctx, store.Key{Table: TablePressure, Part: part, Name: cell})
	if err != nil || row.Version == 0 {
		return interference.Summary{}, err
	}
	value, err := decompress(row.Value)
	if err != nil {
		return interference.Summary{}, err
	}
	return interference.DecodeSummary(value)
}
