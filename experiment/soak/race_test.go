//go:build race

package soak

// raceDetector reports whether the race detector is enabled.
const raceDetector = true
