package configuration

import (
	"switchferry/policy"
	"switchferry/quota"
	"switchferry/settings"
	"switchferry/topology"
)

// Active is the configuration that decisions use: a revision's document on top of files and settings.
// It is immutable; a new revision has an Active of its own.
type Active struct {
	// Revision is 0 if files and settings apply alone.
	Revision  uint64
	Policy    *policy.Policy
	OverLimit OverLimit
	// AheadTasks is nil if the features file applies.
	AheadTasks *int
	// Topology is nil if the topology file applies.
	Topology *topology.Map

	teams []settings.Team
	// byName has the first of teams of each name.
	byName map[string]settings.Team
}

// FromFiles returns the configuration without any revision.
func FromFiles(teams []settings.Team, filePolicy *policy.Policy) *Active {
	active := &Active{Policy: filePolicy, OverLimit: OverLimit{Running: Leave}}
	active.setTeams(teams)
	return active
}

// setTeams sets the teams of a configuration that is not in use yet.
func (a *Active) setTeams(teams []settings.Team) {
	a.teams, a.byName = teams, make(map[string]settings.Team, len(teams))
	for _, team := range teams {
		if _, duplicate := a.byName[team.Name]; !duplicate {
			a.byName[team.Name] = team
		}
	}
}

// Team returns the team of a name; false: there is none.
func (a *Active) Team(name string) (settings.Team, bool) {
	team, ok := a.byName[name]
	return team, ok
}

// Teams returns all teams. The caller must not change the list.
func (a *Active) Teams() []settings.Team { return a.teams }

// Limit returns what a team may use at most; false: there is no such team.
func (a *Active) Limit(name string) (limit quota.Limit, ok bool) {
	team, ok := a.byName[name]
	return quota.Limit{CPUs: team.CPUsMax, Cards: team.CardsMax}, ok
}

// Over returns the configuration of the document as a revision, on top of files and settings.
func (d *Document) Over(files *Active, revision uint64) *Active {
	active := *files
	active.Revision, active.OverLimit = revision, d.OverLimit
	if d.policy != nil {
		active.Policy = d.policy
	}
	if len(d.Teams) > 0 {
		active.setTeams(d.Teams)
	}
	if d.Switches.AheadTasks != nil {
		active.AheadTasks = d.Switches.AheadTasks
	}
	if d.Topology != nil {
		active.Topology = d.Topology
	}
	return &active
}

// Stricter returns the configuration that decisions use during a rollout. It is the one from before
// with the lower of each limit and guarantee, and only the teams that both have, so that whatever it
// admits is within the limits of both revisions.
func Stricter(before, after *Active) *Active {
	active := *before
	var teams []settings.Team
	for _, team := range before.teams {
		other, ok := after.byName[team.Name]
		if !ok {
			continue
		}
		teams = append(teams, settings.Team{
			Name:     team.Name,
			CPUs:     min(team.CPUs, other.CPUs),
			Cards:    min(team.Cards, other.Cards),
			CPUsMax:  lowerLimit(team.CPUsMax, other.CPUsMax),
			CardsMax: lowerLimit(team.CardsMax, other.CardsMax),
		})
	}
	active.setTeams(teams)
	return &active
}

// lowerLimit returns the lower of two limits; 0 stands for no limit.
func lowerLimit(a, b float64) float64 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}
