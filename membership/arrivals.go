package membership

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"switchferry/tuning"
)

// arrivals is the distribution of the times between a member's greetings, over the last ones. From
// it follows how unlikely a silence is: phi, as N. Hayashibara, X. Défago, R. Yared and T. Katayama
// define it ("The phi accrual failure detector", SRDS 2004). Before there are enough, the priors
// count: greetings at their usual pace, with a quarter of it as deviation.
type arrivals struct {
	usual time.Duration
	last  []float64 // seconds, a ring
	next  int
	sum   float64
	sq    float64
}

func newArrivals(usual time.Duration) *arrivals { return &arrivals{usual: usual} }

func (a *arrivals) add(gap time.Duration) {
	s := gap.Seconds()
	if len(a.last) < tuning.ArrivalsKept {
		a.last = append(a.last, s)
	} else {
		old := a.last[a.next]
		a.sum, a.sq = a.sum-old, a.sq-old*old
		a.last[a.next] = s
		a.next = (a.next + 1) % len(a.last)
	}
	a.sum, a.sq = a.sum+s, a.sq+s*s
}

// phi is -log10 of the probability that a greeting comes after a silence that long, at most
// tuning.PhiMost.
func (a *arrivals) phi(quiet time.Duration) float64 {
	prior, n := a.usual.Seconds(), float64(len(a.last))
	spread := prior * tuning.ArrivalsSpread
	// The priors weigh as much as some greetings.
	w := n + tuning.ArrivalsPrior
	mean := (a.sum + tuning.ArrivalsPrior*prior) / w
	square := (a.sq + tuning.ArrivalsPrior*(prior*prior+spread*spread)) / w
	sigma := math.Max(spread, math.Sqrt(math.Max(0, square-mean*mean)))
	p := distuv.Normal{Mu: mean, Sigma: sigma}.Survival(quiet.Seconds())
	if p <= 0 {
		return tuning.PhiMost
	}
	return math.Min(tuning.PhiMost, -math.Log10(p))
}
