package interference

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Summary is what one cell has learned of the pressure of best-effort images on serving images. Other cells use it for pairs that
// they have not observed themselves, and the next owner of the cell continues with it. It holds marginal estimates only; the
// covariances between images are left out.
type Summary struct {
	// Images holds the serving images.
	Images []ImageSummary `json:"images"`
}

// ImageSummary is the part of a Summary about one serving image.
type ImageSummary struct {
	Image string `json:"image"`
	// Floor is the lowest observed tail latency.
	Floor float64 `json:"floor,omitempty"`
	// Pairs holds the best-effort images that were observed beside it.
	Pairs []PairSummary `json:"pairs,omitempty"`
}

// PairSummary is the estimated coefficient of a pair of images. In JSON it is the list of its fields, numbers in hundredths.
type PairSummary struct {
	BestEffort string
	// Mean and Deviation describe the coefficient.
	Mean, Deviation float64
}

// MarshalJSON implements json.Marshaler.
func (p PairSummary) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{p.BestEffort, math.Round(p.Mean * 100), math.Round(p.Deviation * 100)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *PairSummary) UnmarshalJSON(value []byte) error {
	var mean, deviation float64
	fields := []any{&p.BestEffort, &mean, &deviation}
	if err := json.Unmarshal(value, &fields); err != nil {
		return err
	}
	if len(fields) != 3 {
		return fmt.Errorf("pair has %d fields", len(fields))
	}
	p.Mean, p.Deviation = mean/100, deviation/100
	return nil
}

const (
	// maxSummaryPairs bounds the pairs of a summary, which is a row of the store.
	maxSummaryPairs = 1500
	// maxSummaryDeviation is the deviation from which a pair is left out, because it is about the prior.
	maxSummaryDeviation = 0.9 * priorDeviation
	// staleVariance is added to the variance of what another cell or an earlier owner has learned.
	staleVariance = 0.04
)

// Summary returns what the model has learned from its own observations.
func (p *Pressure) Summary() Summary {
	var summary Summary
	pairs := 0
	for image, floor := range p.floors {
		entry := ImageSummary{Image: image, Floor: floor}
		if s := p.images[image]; s != nil {
			for bestEffort, i := range s.index {
				deviation := math.Sqrt(s.cov[i][i])
				if deviation < maxSummaryDeviation && pairs < maxSummaryPairs {
					pairs++
					entry.Pairs = append(entry.Pairs, PairSummary{bestEffort, s.mean[i], deviation})
				}
			}
		}
		slices.SortFunc(entry.Pairs, func(a, b PairSummary) int { return strings.Compare(a.BestEffort, b.BestEffort) })
		summary.Images = append(summary.Images, entry)
	}
	slices.SortFunc(summary.Images, func(a, b ImageSummary) int { return strings.Compare(a.Image, b.Image) })
	return summary
}

// DecodeSummary decodes and checks a summary.
func DecodeSummary(value []byte) (Summary, error) {
	var summary Summary
	if err := json.Unmarshal(value, &summary); err != nil {
		return Summary{}, err
	}
	pairs := 0
	for _, image := range summary.Images {
		if !(image.Floor >= 0) || math.IsInf(image.Floor, 0) {
			return Summary{}, fmt.Errorf("floor %v of image %.50q is out of range", image.Floor, image.Image)
		}
		pairs += len(image.Pairs)
		for _, pair := range image.Pairs {
			if !(pair.Mean >= 0 && pair.Mean <= maxPressure && pair.Deviation > 0 && pair.Deviation <= priorDeviation) {
				return Summary{}, fmt.Errorf("coefficient %v of image %.50q is out of range", pair.Mean, pair.BestEffort)
			}
		}
	}
	if pairs > maxSummaryPairs {
		return Summary{}, errors.New("too many pairs")
	}
	return summary, nil
}

// Restore continues with what an earlier owner of the cell has learned, for the pairs that this model has not observed.
func (p *Pressure) Restore(summary Summary) {
	for _, image := range summary.Images {
		p.lowerFloor(image.Image, image.Floor)
		for _, pair := range image.Pairs {
			s := p.sensitivity(image.Image)
			i := s.imageIndex(pair.BestEffort)
			if s.cov[i][i] < priorDeviation*priorDeviation {
				continue
			}
			s.mean[i] = pair.Mean
			s.cov[i][i] = min(pair.Deviation*pair.Deviation+staleVariance, priorDeviation*priorDeviation)
			s.combine()
		}
	}
}

func (p *Pressure) lowerFloor(image string, floor float64) {
	if known, ok := p.floors[image]; floor > 0 && (!ok || floor < known) {
		p.floors[image] = floor
	}
}

// SetPeers replaces what other cells have learned. Each summary must hold the observations of its cell only, so that none counts
// twice.
func (p *Pressure) SetPeers(peers []Summary) {
	for _, s := range p.images {
		for i := range s.peers {
			s.peers[i] = evidence{}
		}
	}
	for _, summary := range peers {
		for _, image := range summary.Images {
			p.lowerFloor(image.Image, image.Floor)
			s := p.sensitivity(image.Image)
			for _, pair := range image.Pairs {
				i := s.imageIndex(pair.BestEffort)
				s.peers[i].add(pair)
			}
		}
	}
	for _, s := range p.images {
		s.combine()
	}
}

// evidence is what other cells know of a coefficient beyond the prior: the sum of their precisions, and of their means weighted by
// these.
type evidence struct{ precision, weighted float64 }

func (e *evidence) add(pair PairSummary) {
	precision := 1 / (pair.Deviation*pair.Deviation + staleVariance)
	if precision <= priorPrecision {
		return
	}
	e.precision += precision - priorPrecision
	e.weighted += pair.Mean*precision - priorPressure*priorPrecision
}

// priorPrecision is the inverse of the variance of the prior.
const priorPrecision = 1 / (priorDeviation * priorDeviation)

// combine joins the cell's own estimates with those of other cells.
func (s *sensitivity) combine() {
	for i, e := range s.peers {
		variance := s.cov[i][i]
		precision := 1/variance + e.precision
		s.combined[i] = min(max((s.mean[i]/variance+e.weighted)/precision, 0), maxPressure)
		s.narrowing[i] = math.Sqrt(1 / (precision * variance))
	}
}
