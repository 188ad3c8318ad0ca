//go:build race

package soak

// raceDetector is true if the race detector is on.
const raceDetector = true
