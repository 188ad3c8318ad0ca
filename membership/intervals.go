package membership

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"switchferry/tuning"
)

// intervals is the distribution of the times between a member's greetings, over the last ones. From
// it follows how unlikely a silence is: phi, as N. Hayashibara, X. Défago, R. Yared and T. Katayama
// define it ("The phi accrual failure detector", SRDS 2004). Before there are enough, the priors
// count: greetings at their usual pace, with a quarter of it as deviation.
type intervals struct {
	expectedInterval time.Duration
	samples          []float64 // seconds, a ring
	oldest           int
	sum              float64
	squares          float64
}

func newIntervals(expected time.Duration) *intervals { return &intervals{expectedInterval: expected} }

func (i *intervals) add(interval time.Duration) {
	seconds := interval.Seconds()
	if len(i.samples) < tuning.ArrivalsKept {
		i.samples = append(i.samples, seconds)
	} else {
		old := i.samples[i.oldest]
		i.sum, i.squares = i.sum-old, i.squares-old*old
		i.samples[i.oldest] = seconds
		i.oldest = (i.oldest + 1) % len(i.samples)
	}
	i.sum, i.squares = i.sum+seconds, i.squares+seconds*seconds
}

// phi is -log10 of the probability that a greeting comes after a silence that long, at most
// tuning.PhiMost.
func (i *intervals) phi(silentFor time.Duration) float64 {
	prior, count := i.expectedInterval.Seconds(), float64(len(i.samples))
	spread := prior * tuning.ArrivalsSpread
	// The priors weigh as much as some greetings.
	weight := count + tuning.ArrivalsPrior
	mean := (i.sum + tuning.ArrivalsPrior*prior) / weight
	square := (i.squares + tuning.ArrivalsPrior*(prior*prior+spread*spread)) / weight
	sigma := math.Max(spread, math.Sqrt(math.Max(0, square-mean*mean)))
	probability := distuv.Normal{Mu: mean, Sigma: sigma}.Survival(silentFor.Seconds())
	if probability <= 0 {
		return tuning.PhiMost
	}
	return math.Min(tuning.PhiMost, -math.Log10(probability))
}
