//go:build !race

package simulation

// raceDetector is true if the race detector is enabled.
const raceDetector = false
