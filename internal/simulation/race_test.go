//go:build race

package simulation

// raceDetector is true if the race detector is enabled, with which a scenario takes ten times as long.
const raceDetector = true
