package interference

// Pair is a serving image and an image of tasks that fill beside it.
type Pair struct{ Serving, Filling string }

// Share is the processor time that tasks of one image use on a runner, as a share of the runner's capacity.
type Share struct {
	Image string
	Used  float64
}

const (
	// priorPressure is assumed of pairs that were not seen together.
	priorPressure = 1.0
	// priorLoad is assumed of a serving task's own load until it was seen.
	priorLoad = 0.45
	// pressureGain and loadGain weight a new observation.
	pressureGain = 0.3
	loadGain     = 0.35
	// ridge keeps one observation with a small share from moving a coefficient far.
	ridge = 0.02
	// maxPressure bounds a coefficient.
	maxPressure = 6.0
	// quietShare is the pressure below which an observation shows the task's own load.
	quietShare = 0.02
	// saturation is the utilization from which the tail grows without saying how far the load is above it.
	saturation = 0.93
	// targetShare is the share of the latency target that is aimed for.
	targetShare = 0.7
)

// Pressure learns, for each pair of images, how much of a serving task's capacity the tasks that fill take. The tail
// latency of a serving task follows floor / (1 - u), where the utilization u is its own load and the sum of shares times
// coefficients; observations of it lag by half a second and its own load moves meanwhile. The zero value is not usable.
type Pressure struct {
	coefficients map[Pair]float64
	// floors holds the lowest tail latency seen of each serving image.
	floors map[string]float64
}

// NewPressure returns a model that has seen nothing.
func NewPressure() *Pressure {
	return &Pressure{coefficients: map[Pair]float64{}, floors: map[string]float64{}}
}

// Coefficient returns what a full share of the filling image takes from a serving task.
func (p *Pressure) Coefficient(pair Pair) float64 {
	if c, ok := p.coefficients[pair]; ok {
		return c
	}
	return priorPressure
}

// Sum returns the pressure of shares on a serving image.
func (p *Pressure) Sum(serving string, shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Used * p.Coefficient(Pair{serving, s.Image})
	}
	return sum
}

// Limit returns the utilization up to which a serving image stays safely below its latency target; tail and target have
// one unit.
func (p *Pressure) Limit(image string, target float64) float64 {
	floor, ok := p.floors[image]
	if !ok || target <= floor {
		return 0
	}
	return 1 - floor/(targetShare*target)
}

// Load is what is known of a serving task's own load. The zero value means nothing.
type Load struct {
	value float64
	known bool
}

// Value returns the estimated utilization by the task's own load.
func (l Load) Value() float64 {
	if !l.known {
		return priorLoad
	}
	return l.value
}

// Observe takes a tail latency of a serving task and the shares of what filled beside it.
func (p *Pressure) Observe(image string, tail float64, shares []Share, load *Load) {
	if tail <= 0 {
		return
	}
	if floor, ok := p.floors[image]; !ok || tail < floor {
		p.floors[image] = tail
	}
	u := 1 - p.floors[image]/tail
	pressure := p.Sum(image, shares)
	if total(shares) < quietShare {
		if u < saturation {
			load.move(u, 1)
		}
		return
	}
	residual := u - load.Value() - pressure
	if u >= saturation && residual < 0 {
		// The tail is saturated and the model says so too.
		return
	}
	p.learn(image, residual, shares)
	if u < saturation {
		load.move(u-p.Sum(image, shares), loadGain)
	}
}

func (l *Load) move(value, gain float64) {
	value = min(max(value, 0), 1)
	if !l.known {
		l.value, l.known = value, true
		return
	}
	if value > l.value {
		// A rising load harms before the next observation; a falling one only wastes a little.
		gain = 1
	}
	l.value += gain * (value - l.value)
}

func total(shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Used
	}
	return sum
}

// learn moves the coefficients of the images beside a serving task by normalised least mean squares.
func (p *Pressure) learn(image string, residual float64, shares []Share) {
	norm := ridge
	for _, s := range shares {
		norm += s.Used * s.Used
	}
	for _, s := range shares {
		pair := Pair{image, s.Image}
		c := p.Coefficient(pair) + pressureGain*residual*s.Used/norm
		p.coefficients[pair] = min(max(c, 0), maxPressure)
	}
}
