//go:build !race

package simulation

const raced = false
