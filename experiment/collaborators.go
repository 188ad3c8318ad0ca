package experiment

import "switchferry/store"

// alwaysLeading is the leadership of a scheduler that has no peers: it always leads and reaches all zones.
type alwaysLeading struct{}

// Leading returns true.
func (alwaysLeading) Leading() bool { return true }

// ZoneUnreachable returns false.
func (alwaysLeading) ZoneUnreachable(string) bool { return false }

// noTerminalStates is a store of the terminal states of jobs that stores nothing.
type noTerminalStates struct{}

// Remember does nothing.
func (noTerminalStates) Remember(string, store.FinalRecord) {}

// Get finds no job.
func (noTerminalStates) Get(string) (store.FinalRecord, bool) { return store.FinalRecord{}, false }
