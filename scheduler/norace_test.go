//go:build !race

package scheduler

// raceDetector reports whether the race detector is enabled.
const raceDetector = false
