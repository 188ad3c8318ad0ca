package experiment

import "switchferry/store"

// alwaysLeading is the leadership of a scheduler that runs alone, with all zones within reach.
type alwaysLeading struct{}

// Leading returns true.
func (alwaysLeading) Leading() bool { return true }

// ZoneUnreachable returns false.
func (alwaysLeading) ZoneUnreachable(string) bool { return false }

// noTerminalStates remembers no job.
type noTerminalStates struct{}

// Remember does nothing.
func (noTerminalStates) Remember(string, store.FinalRecord) {}

// Get knows of no job.
func (noTerminalStates) Get(string) (store.FinalRecord, bool) { return store.FinalRecord{}, false }
