package configuration

import (
	"switchferry/policy"
	"switchferry/quota"
	"switchferry/settings"
	"switchferry/topology"
)

// Active is what decisions go by: a revision over what files and settings say. It never changes; a change is another
// one.
type Active struct {
	// Revision is 0 where files and settings count alone.
	Revision  uint64
	Policy    *policy.Policy
	OverLimit OverLimit
	// AheadTasks is nil where the features file counts, Topology where the topology file does.
	AheadTasks *int
	Topology   *topology.Map

	teams  []settings.Team
	byName map[string]settings.Team
}

// FromFiles is what counts without any revision.
func FromFiles(teams []settings.Team, filePolicy *policy.Policy) *Active {
	a := &Active{Policy: filePolicy, OverLimit: OverLimit{Running: Leave}}
	a.setTeams(teams)
	return a
}

func (a *Active) setTeams(teams []settings.Team) {
	a.teams, a.byName = teams, make(map[string]settings.Team, len(teams))
	for _, team := range teams {
		if _, duplicate := a.byName[team.Name]; !duplicate {
			a.byName[team.Name] = team
		}
	}
}

// Team finds a team by name.
func (a *Active) Team(name string) (settings.Team, bool) {
	team, ok := a.byName[name]
	return team, ok
}

// Teams are all teams. The list must not be changed.
func (a *Active) Teams() []settings.Team { return a.teams }

// Limit is what a team may use at most; false: there is no such team.
func (a *Active) Limit(team string) (limit quota.Limit, ok bool) {
	t, ok := a.byName[team]
	return quota.Limit{CPUs: t.CPUsMax, Cards: t.CardsMax}, ok
}

// Over is the document as that revision, over what counts without it.
func (d *Document) Over(files *Active, revision uint64) *Active {
	a := *files
	a.Revision, a.OverLimit = revision, d.OverLimit
	if d.policy != nil {
		a.Policy = d.policy
	}
	if len(d.Teams) > 0 {
		a.setTeams(d.Teams)
	}
	if d.Switches.AheadTasks != nil {
		a.AheadTasks = d.Switches.AheadTasks
	}
	if d.Topology != nil {
		a.Topology = d.Topology
	}
	return &a
}

// Stricter is what decisions go by while a change is on its way: everything as before, but of each limit and guarantee
// the lower one, and only teams that both know. Whatever is started by it is within both revisions' limits.
func Stricter(before, after *Active) *Active {
	a := *before
	var teams []settings.Team
	for _, team := range before.teams {
		other, ok := after.byName[team.Name]
		if !ok {
			continue
		}
		teams = append(teams, settings.Team{Name: team.Name, CPUs: min(team.CPUs, other.CPUs), Cards: min(team.Cards, other.Cards),
			CPUsMax: lowerLimit(team.CPUsMax, other.CPUsMax), CardsMax: lowerLimit(team.CardsMax, other.CardsMax)})
	}
	a.setTeams(teams)
	return &a
}

// lowerLimit is the lower of two limits, of which 0 is none.
func lowerLimit(a, b float64) float64 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	}
	return min(a, b)
}
