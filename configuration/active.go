package configuration

import (
	"switchferry/policy"
	"switchferry/quota"
	"switchferry/settings"
	"switchferry/topology"
)

// Active is the configuration that scheduling decisions use: the document of a revision, which overrides
// the controller's files and settings. It is immutable; each revision has its own Active.
type Active struct {
	// Revision is the number of the revision, or 0 if only the files and settings apply.
	Revision  uint64
	Policy    *policy.Policy
	OverLimit OverLimitPolicy
	// AheadTasks overrides data.ahead_tasks of the features file, unless it is nil.
	AheadTasks *int
	// Topology overrides the topology file, unless it is nil.
	Topology *topology.Map

	teams []settings.Team
	// byName maps each team name to the first team of that name.
	byName map[string]settings.Team
}

// FromFiles returns the configuration that applies without any revision.
func FromFiles(teams []settings.Team, filePolicy *policy.Policy) *Active {
	active := &Active{Policy: filePolicy, OverLimit: OverLimitPolicy{Running: LeaveRunning}}
	active.setTeams(teams)
	return active
}

// setTeams sets the teams. It must not be called once the configuration is in use.
func (a *Active) setTeams(teams []settings.Team) {
	a.teams, a.byName = teams, make(map[string]settings.Team, len(teams))
	for _, team := range teams {
		if _, duplicate := a.byName[team.Name]; !duplicate {
			a.byName[team.Name] = team
		}
	}
}

// Team returns the team with the given name, and false if there is none.
func (a *Active) Team(name string) (settings.Team, bool) {
	team, ok := a.byName[name]
	return team, ok
}

// Teams returns all teams. The caller must not modify the slice.
func (a *Active) Teams() []settings.Team { return a.teams }

// Limit returns the resource limit of a team, and false if there is no such team.
func (a *Active) Limit(name string) (limit quota.Limit, ok bool) {
	team, ok := a.byName[name]
	return quota.Limit{CPUs: team.CPUsMax, Cards: team.CardsMax}, ok
}

// Overlay returns the configuration in which the document, as the given revision, overrides files.
func (d *Document) Overlay(files *Active, revision uint64) *Active {
	active := *files
	active.Revision, active.OverLimit = revision, d.OverLimit
	if d.policy != nil {
		active.Policy = d.policy
	}
	if len(d.Teams) > 0 {
		active.setTeams(d.Teams)
	}
	if d.Features.AheadTasks != nil {
		active.AheadTasks = d.Features.AheadTasks
	}
	if d.Topology != nil {
		active.Topology = d.Topology
	}
	return &active
}

// Stricter returns the configuration that decisions use during a rollout. It equals before, except
// that it contains only the teams that both configurations have, each with the lower of the two values of
// every limit and guarantee. Whatever it admits is therefore within the limits of both revisions.
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

// lowerLimit returns the lower of two limits, where 0 means no limit.
func lowerLimit(a, b float64) float64 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}
