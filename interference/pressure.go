package interference

import "time"

// Pair is a serving image and the image of best-effort tasks beside it.
type Pair struct{ Serving, BestEffort string }

// Share is the processor time that tasks of one image use on a runner, as a share of the runner's capacity.
type Share struct {
	Image string
	Used  float64
}

const (
	// priorPressure is assumed for pairs that were not observed together.
	priorPressure = 1.0
	// priorDeviation is the standard deviation of coefficients among pairs.
	priorDeviation = 1.5
	// minVariance keeps coefficients adaptable.
	minVariance = 0.01
	// maxPressure bounds a coefficient.
	maxPressure = 6.0
	// negligibleShare is the total share below which an observation shows the task's own load.
	negligibleShare = 0.02
	// saturation is the utilization from which the tail latency no longer shows how high the load is.
	saturation = 0.93
	// targetShare is the share of the latency target that is aimed for.
	targetShare = 0.9
)

// Pressure learns, for each pair of images, how much of a serving task's capacity best-effort tasks take. The tail
// latency of a serving task is modelled as floor / (1 - u), where the utilization u is its own load plus the sum of
// shares times coefficients. Observations arrive with the polls of a runner, up to about 2 s apart, and 0.5 s
// while a serving task exceeds its target beside best-effort tasks. The task's load changes meanwhile (see Load). What other cells
// have learned joins the cell's own estimates (see Summary). The zero value is not usable.
type Pressure struct {
	images map[string]*sensitivity
	// floors holds the lowest observed tail latency of each serving image.
	floors map[string]float64
}

// NewPressure returns a model without observations.
func NewPressure() *Pressure {
	return &Pressure{images: map[string]*sensitivity{}, floors: map[string]float64{}}
}

// Coefficient returns the pressure that a full share of the best-effort image puts on a serving task.
func (p *Pressure) Coefficient(pair Pair) float64 {
	s := p.images[pair.Serving]
	if s == nil {
		return priorPressure
	}
	i, ok := s.index[pair.BestEffort]
	if !ok {
		return priorPressure
	}
	return s.combined[i]
}

// Sum returns the pressure of shares on a serving image.
func (p *Pressure) Sum(serving string, shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Used * p.Coefficient(Pair{serving, s.Image})
	}
	return sum
}

// Limit returns the utilization up to which a serving image stays safely below its latency target. target has the unit
// of the observed tail latencies. The limit is 0 for an image without observations.
func (p *Pressure) Limit(image string, target float64) float64 {
	floor, ok := p.floors[image]
	if !ok || target <= floor {
		return 0
	}
	return 1 - floor/(targetShare*target)
}

// Observe learns from a tail latency of a serving task, the shares of the best-effort tasks beside it and the load of
// its step.
func (p *Pressure) Observe(now time.Time, image string, tail float64, shares []Share, load *Load) {
	if tail <= 0 {
		return
	}
	if floor, ok := p.floors[image]; !ok || tail < floor {
		p.floors[image] = tail
	}
	u := 1 - p.floors[image]/tail
	const noise = reportDeviation * reportDeviation
	if totalShare(shares) < negligibleShare {
		if u < saturation {
			load.observe(now, u, noise)
		}
		return
	}
	pressure, pressureVar := p.estimate(image, shares)
	// The cell's own estimates learn from its own observations only.
	residual := u - load.At(now) - p.ownSum(image, shares)
	if u >= saturation && residual < 0 {
		// The tail latency is saturated, which the model predicts as well.
		return
	}
	loadVar := load.variance(now)
	if u < saturation {
		load.observe(now, u-pressure, noise+pressureVar)
	}
	p.learn(image, residual, noise+loadVar, shares)
}

func totalShare(shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Used
	}
	return sum
}

// estimate returns the pressure of shares on a serving image and its variance.
func (p *Pressure) estimate(image string, shares []Share) (sum, variance float64) {
	s := p.images[image]
	for _, a := range shares {
		sum += a.Used * p.Coefficient(Pair{image, a.Image})
		if s == nil {
			variance += a.Used * a.Used * priorDeviation * priorDeviation
			continue
		}
		for _, b := range shares {
			variance += a.Used * b.Used * s.covariance(a.Image, b.Image)
		}
	}
	return sum, variance
}

// ownSum returns the pressure of shares on a serving image as learned from the cell's own observations.
func (p *Pressure) ownSum(image string, shares []Share) float64 {
	sum := 0.0
	s := p.images[image]
	for _, share := range shares {
		coefficient := priorPressure
		if s != nil {
			if i, ok := s.index[share.Image]; ok {
				coefficient = s.mean[i]
			}
		}
		sum += share.Used * coefficient
	}
	return sum
}

// learn updates the coefficients of the images beside a serving task. noise is the variance of the residual beyond that
// of the coefficients.
func (p *Pressure) learn(image string, residual, noise float64, shares []Share) {
	p.sensitivity(image).update(residual, noise, shares)
}

// sensitivity returns the coefficients of a serving image.
func (p *Pressure) sensitivity(image string) *sensitivity {
	s := p.images[image]
	if s == nil {
		s = &sensitivity{index: map[string]int{}}
		p.images[image] = s
	}
	return s
}

// sensitivity holds the coefficients of one serving image as a Gaussian estimate. Several images run beside a task at
// once, so an observation is about their sum. The covariance attributes the sum to single images once they have been
// observed in other combinations.
type sensitivity struct {
	index map[string]int
	mean  []float64
	cov   [][]float64
	// peers is what other cells know, combined the coefficients from both, and narrowing the factor by which that knowledge reduces
	// the standard deviations.
	peers     []evidence
	combined  []float64
	narrowing []float64
}

// covariance returns the covariance of the combined coefficients of two images.
func (s *sensitivity) covariance(a, b string) float64 {
	i, knownA := s.index[a]
	k, knownB := s.index[b]
	switch {
	case knownA && knownB:
		return s.cov[i][k] * s.narrowing[i] * s.narrowing[k]
	case a == b:
		return priorDeviation * priorDeviation
	default:
		return 0
	}
}

// imageIndex returns the index of an image and adds it if it is new.
func (s *sensitivity) imageIndex(image string) int {
	if i, ok := s.index[image]; ok {
		return i
	}
	return s.addImage(image)
}

// addImage adds an image with the prior.
func (s *sensitivity) addImage(image string) int {
	i := len(s.mean)
	s.index[image] = i
	s.mean = append(s.mean, priorPressure)
	for k := range s.cov {
		s.cov[k] = append(s.cov[k], 0)
	}
	row := make([]float64, i+1)
	row[i] = priorDeviation * priorDeviation
	s.cov = append(s.cov, row)
	s.peers = append(s.peers, evidence{})
	s.combined, s.narrowing = append(s.combined, priorPressure), append(s.narrowing, 1)
	return i
}

// update is one step of recursive least squares: residual is the observed pressure minus the predicted one.
func (s *sensitivity) update(residual, noise float64, shares []Share) {
	index := make([]int, len(shares))
	for k, share := range shares {
		index[k] = s.imageIndex(share.Image)
	}
	gain := make([]float64, len(s.mean))
	variance := noise
	for i := range gain {
		for k, share := range shares {
			gain[i] += s.cov[i][index[k]] * share.Used
		}
	}
	for k, share := range shares {
		variance += gain[index[k]] * share.Used
	}
	for i := range s.mean {
		s.mean[i] = min(max(s.mean[i]+gain[i]*residual/variance, 0), maxPressure)
		for k := range s.mean {
			s.cov[i][k] -= gain[i] * gain[k] / variance
		}
		// A lower bound of the variance keeps the estimate adaptable.
		s.cov[i][i] = max(s.cov[i][i], minVariance)
	}
	s.combine()
}
