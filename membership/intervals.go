package membership

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"switchferry/tuning"
)

// intervals is the distribution of the recent intervals between a member's hellos. It yields the suspicion level
// phi of the phi accrual failure detector (N. Hayashibara, X. Défago, R. Yared, T. Katayama: "The phi accrual
// failure detector", SRDS 2004). The prior has the weight of tuning.HelloIntervalPriorWeight samples: hellos at the
// expected interval, with a standard deviation of tuning.HelloIntervalDeviationShare of that interval.
type intervals struct {
	expectedInterval time.Duration
	// samples is a ring buffer of at most tuning.HelloIntervalWindow intervals, in seconds.
	samples []float64
	// oldestIndex is the index of the oldest sample once the buffer is full.
	oldestIndex int
	// sum and sumOfSquares are over all samples.
	sum, sumOfSquares float64
}

func newIntervals(expected time.Duration) *intervals { return &intervals{expectedInterval: expected} }

// add records one interval; it replaces the oldest one if the buffer is full.
func (i *intervals) add(interval time.Duration) {
	seconds := interval.Seconds()
	if len(i.samples) < tuning.HelloIntervalWindow {
		i.samples = append(i.samples, seconds)
	} else {
		replaced := i.samples[i.oldestIndex]
		i.sum, i.sumOfSquares = i.sum-replaced, i.sumOfSquares-replaced*replaced
		i.samples[i.oldestIndex] = seconds
		i.oldestIndex = (i.oldestIndex + 1) % len(i.samples)
	}
	i.sum, i.sumOfSquares = i.sum+seconds, i.sumOfSquares+seconds*seconds
}

// phi returns -log10 of the probability that a hello arrives later than silentFor after the previous one, capped
// at tuning.PhiMax.
func (i *intervals) phi(silentFor time.Duration) float64 {
	prior, count := i.expectedInterval.Seconds(), float64(len(i.samples))
	priorDeviation := prior * tuning.HelloIntervalDeviationShare
	totalWeight := count + tuning.HelloIntervalPriorWeight
	mean := (i.sum + tuning.HelloIntervalPriorWeight*prior) / totalWeight
	meanSquare := (i.sumOfSquares + tuning.HelloIntervalPriorWeight*(prior*prior+priorDeviation*priorDeviation)) / totalWeight
	deviation := math.Max(priorDeviation, math.Sqrt(math.Max(0, meanSquare-mean*mean)))
	probability := distuv.Normal{Mu: mean, Sigma: deviation}.Survival(silentFor.Seconds())
	if probability <= 0 {
		return tuning.PhiMax
	}
	return math.Min(tuning.PhiMax, -math.Log10(probability))
}
