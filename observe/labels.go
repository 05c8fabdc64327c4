package observe

import "sync"

// otherLabel is the value of a label that stands for all values beyond the bound.
const otherLabel = "other"

// Labels bounds the number of values of a label. It is safe for concurrent use.
type Labels struct {
	most int

	mu   sync.Mutex // guards seen
	seen map[string]bool
}

// NewLabels returns the values of a label: the first of up to most different ones, and "other" for the rest.
func NewLabels(most int) *Labels { return &Labels{most: most, seen: map[string]bool{}} }

// Value returns the value of the label for a name.
func (l *Labels) Value(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.seen[name] {
		if len(l.seen) >= l.most {
			return otherLabel
		}
		l.seen[name] = true
	}
	return name
}
