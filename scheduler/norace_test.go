//go:build !race

package scheduler

// raceDetector is true if the race detector is on.
const raceDetector = false
