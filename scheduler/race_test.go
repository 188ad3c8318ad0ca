//go:build race

package scheduler

// raceDetector is true if the race detector is on, which makes a scenario take ten times as long.
const raceDetector = true
