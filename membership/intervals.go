package membership

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"switchferry/tuning"
)

// intervals is the distribution of the last times between a member's hellos. From it follows how unlikely a
// silence is, as phi of the phi accrual failure detector (N. Hayashibara, X. Défago, R. Yared, T. Katayama:
// "The phi accrual failure detector", SRDS 2004). A prior weighs as much as tuning.ArrivalsPrior samples:
// hellos at the expected interval, with a standard deviation of a quarter of it.
type intervals struct {
	expectedInterval time.Duration
	// samples is a ring of tuning.ArrivalsKept intervals in seconds, the oldest of them at that index once it
	// is full; sum and squares are their sum and the sum of their squares.
	samples      []float64
	oldest       int
	sum, squares float64
}

func newIntervals(expected time.Duration) *intervals { return &intervals{expectedInterval: expected} }

// add records one interval.
func (i *intervals) add(interval time.Duration) {
	seconds := interval.Seconds()
	if len(i.samples) < tuning.IntervalsKept {
		i.samples = append(i.samples, seconds)
	} else {
		old := i.samples[i.oldest]
		i.sum, i.squares = i.sum-old, i.squares-old*old
		i.samples[i.oldest] = seconds
		i.oldest = (i.oldest + 1) % len(i.samples)
	}
	i.sum, i.squares = i.sum+seconds, i.squares+seconds*seconds
}

// phi returns -log10 of the probability that a hello still arrives after a silence of this length, at most
// tuning.PhiMost.
func (i *intervals) phi(silentFor time.Duration) float64 {
	prior, count := i.expectedInterval.Seconds(), float64(len(i.samples))
	priorDeviation := prior * tuning.IntervalsSpread
	weight := count + tuning.IntervalsPrior
	mean := (i.sum + tuning.IntervalsPrior*prior) / weight
	meanSquare := (i.squares + tuning.IntervalsPrior*(prior*prior+priorDeviation*priorDeviation)) / weight
	deviation := math.Max(priorDeviation, math.Sqrt(math.Max(0, meanSquare-mean*mean)))
	probability := distuv.Normal{Mu: mean, Sigma: deviation}.Survival(silentFor.Seconds())
	if probability <= 0 {
		return tuning.PhiMax
	}
	return math.Min(tuning.PhiMax, -math.Log10(probability))
}
