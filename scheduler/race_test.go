//go:build race

package scheduler

// raceDetector reports whether the race detector is enabled. It makes scenarios run about ten times longer.
const raceDetector = true
