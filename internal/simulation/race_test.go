//go:build race

package world

// raced: the race detector makes a day take ten times as long.
const raced = true
