package quota

// Account is what the owner of a cell knows of one organisation. The zero value is that of an organisation without a row.
//
// What a former owner may still start is not known to the present one. Unknown bounds it by the tasks that may run on runners that have
// not responded, and by the limits that a former owner may apply.
type Account struct {
	row     Row
	cell    string
	version int64
	// former bounds what all runs of former owners together hold; not used before a row is known.
	former Amounts
	// held is what the known runs are charged.
	held Amounts
	// unknown is what runs that are not known may hold.
	unknown Amounts
}

// NewAccount returns the account of an organisation in a cell. reported is what the former owner has reported beyond its limit. If
// predecessorKnown is false, that report is not known.
func NewAccount(cell string, reported Amounts, predecessorKnown bool) *Account {
	a := &Account{cell: cell, former: reported}
	if !predecessorKnown {
		a.former = unbounded
	}
	return a
}

// SetRow applies a row with a version, unless the account has a newer one. It reports whether the cap has changed, after which the held
// amounts have to be set again.
func (a *Account) SetRow(row Row, version int64) (recharge bool) {
	if version <= a.version {
		return false
	}
	recharge = a.version == 0 || row.Cap != a.row.Cap
	a.row, a.version = row, version
	a.former = looser(a.former, row.Cells[a.cell].Bound())
	return recharge
}

// Known reports whether the organisation has a row.
func (a *Account) Known() bool { return a.version > 0 }

// Cap returns the cap of the organisation's row.
func (a *Account) Cap() Amounts { return a.row.Cap }

// Limit returns what runs in the cell may hold.
func (a *Account) Limit() Amounts { return a.row.Cells[a.cell].Limit }

// Held returns what the runs in the cell hold at most.
func (a *Account) Held() Amounts { return a.held.Add(a.unknown) }

// SetHeld replaces what the known runs are charged.
func (a *Account) SetHeld(held Amounts) { a.held = held }

// Add adds a charge of a known run; a negative one is that of a run that has ended.
func (a *Account) Add(charge Amounts) { a.held = a.held.Add(charge) }

// SetUnknown sets a bound of what runs that are not known may hold, by the tasks that may have such runs.
func (a *Account) SetUnknown(charge Amounts) { a.unknown = charge.boundedBy(a.former) }

// Charge returns what a task of a size counts.
func (a *Account) Charge(size Amounts) Amounts { return Charge(size, a.row.Cap) }

// MayHold reports whether a further run, or several that start together, may start with a charge. While the cell holds more than its limit in
// any dimension, nothing starts.
func (a *Account) MayHold(charge Amounts) bool {
	total, limit := a.Held().Add(charge), a.Limit()
	for i, c := range a.row.Cap {
		if c > 0 && total[i] > limit[i] {
			return false
		}
	}
	return true
}

// Over reports whether the runs in the cell may hold more than the limit.
func (a *Account) Over() bool {
	held, limit := a.Held(), a.Limit()
	for i, c := range a.row.Cap {
		if c > 0 && held[i] > limit[i] {
			return true
		}
	}
	return false
}

// Version returns the version of the organisation's row; 0 if there is none.
func (a *Account) Version() int64 { return a.version }

// UsesHalf reports whether the runs in the cell hold more than half of the limit.
func (a *Account) UsesHalf() bool {
	held, limit := a.Held(), a.Limit()
	for i, c := range a.row.Cap {
		if c > 0 && held[i]*2 > limit[i] {
			return true
		}
	}
	return false
}
