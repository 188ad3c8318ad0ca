//go:build race

package simulation

// raceDetector: the race detector makes a day take ten times as long.
const raceDetector = true
