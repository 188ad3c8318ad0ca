package placement

import (
	"cmp"
	"math"
	"slices"
)

// groupFiller is the state of one call of FillGroups, which assigns the tasks of one job.
type groupFiller struct {
	servers   []Server
	inputCost InputCost
	shares    []Share
	// participants are the servers that may get tasks of the current group, with Busy, Mu and FreeCapacity as they are
	// for that group. Like members and byLoad, the slice is reused for every group.
	participants []Server
	// members identifies the server of each participant.
	members []member
	// byLoad holds the indices of the participants below the level, in ascending order of Busy.
	byLoad []int32
	// leastLoaded is built when it is first used after a group was water-filled; nil until then. Water-filling raises
	// Busy of many servers at once, so it resets the heap instead of updating it.
	leastLoaded *busyHeap
}

// member identifies the server of one participant and records whether it holds all inputs of the group.
type member struct {
	server      int32
	holdsInputs bool
}

func newFiller(servers []Server, inputCost InputCost) *groupFiller {
	n := len(servers)
	return &groupFiller{
		servers: servers, inputCost: inputCost,
		participants: make([]Server, 0, n), members: make([]member, 0, n), byLoad: make([]int32, 0, n),
	}
}

// waterFill assigns the tasks of a group to the participants that are below the least level that covers these tasks.
func (f *groupFiller) waterFill(groupIndex int, group *Group) {
	f.leastLoaded = nil
	f.addHolders(group)
	tasks := len(group.Tasks)
	level, ok := Level(f.participants, tasks)
	if f.inputCost != nil && (!ok || f.minBusy()+f.inputCost.MinCopySlots(groupIndex) < level) {
		if !ok {
			level = math.MaxInt
		}
		f.addNonHolders(groupIndex, group, level)
		level, ok = Level(f.participants, tasks)
	}
	if ok {
		f.sortBelow(level)
		f.distribute(groupIndex, group.Tasks, level)
	}
}

// addHolders resets the participants to the servers that hold the group's inputs and take tasks.
func (f *groupFiller) addHolders(group *Group) {
	f.participants, f.members = f.participants[:0], f.members[:0]
	for _, i := range group.Holders {
		if f.servers[i].Mu > 0 {
			f.participants, f.members = append(f.participants, f.servers[i]), append(f.members, member{i, true})
		}
	}
}

// addNonHolders adds the servers that lack inputs as participants, if they are below a level even with the cost of
// copying. Their Busy, Mu and FreeCapacity include that cost.
func (f *groupFiller) addNonHolders(groupIndex int, group *Group, level int) {
	holders, rate := group.Holders, f.inputCost.TasksCopiedPerSlot(groupIndex)
	for index, server := range f.servers {
		for len(holders) > 0 && int(holders[0]) < index {
			holders = holders[1:]
		}
		isHolder := len(holders) > 0 && int(holders[0]) == index
		if isHolder || server.Mu <= 0 || server.Busy+1 >= level {
			continue
		}
		adjusted := server.withCopyCost(f.inputCost.CopySlots(groupIndex, index), rate)
		if adjusted.Busy < level {
			f.participants, f.members = append(f.participants, adjusted), append(f.members, member{int32(index), false})
		}
	}
}

// withCopyCost returns the server as it is for a group whose inputs it must copy: slots is the number of slots that the
// copying takes for one task, and rate the number of tasks whose inputs are copied in a slot. A link copies the inputs
// of one task at a time, so only one task can start at once, however many CPUs are idle.
func (s Server) withCopyCost(slots int, rate float64) Server {
	return Server{Busy: s.Busy + slots, Mu: min(s.Mu, rate), FreeCapacity: min(s.FreeCapacity, 1)}
}

// minBusy returns the least Busy of all servers that take tasks, or math.MaxInt if there is none.
func (f *groupFiller) minBusy() int {
	least := math.MaxInt
	for _, server := range f.servers {
		if server.Mu > 0 {
			least = min(least, server.Busy)
		}
	}
	return least
}

// sortBelow sets byLoad to the participants whose Busy is below a level.
func (f *groupFiller) sortBelow(level int) {
	order, sorted := f.byLoad[:0], true
	for i, server := range f.participants {
		if server.Busy < level {
			sorted = sorted && (len(order) == 0 || f.participants[order[len(order)-1]].Busy <= server.Busy)
			order = append(order, int32(i))
		}
	}
	if !sorted {
		slices.SortFunc(order, func(a, b int32) int {
			return cmp.Or(cmp.Compare(f.participants[a].Busy, f.participants[b].Busy), cmp.Compare(a, b))
		})
	}
	f.byLoad = order
}

// distribute assigns tasks to the participants in byLoad, up to their share of the level; the last one gets the rest.
func (f *groupFiller) distribute(groupIndex int, tasks []int32, level int) {
	for k, i := range f.byLoad {
		if len(tasks) == 0 {
			return
		}
		count := len(tasks)
		if k < len(f.byLoad)-1 {
			count = min(count, f.participants[i].share(level))
		}
		f.assign(groupIndex, f.members[i], tasks[:count:count], level)
		tasks = tasks[count:]
	}
}

// assign assigns tasks to a participant and updates its server. Busy of a server that holds the inputs rises to the
// level; otherwise, it rises only by the work that the tasks add.
func (f *groupFiller) assign(groupIndex int, participant member, tasks []int32, level int) {
	server, count := &f.servers[participant.server], len(tasks)
	if participant.holdsInputs {
		server.Busy = max(server.Busy, level)
	} else {
		server.Busy += ceil(float64(count) / server.Mu)
		f.inputCost.RecordAssignment(groupIndex, int(participant.server), count)
	}
	server.FreeCapacity = max(0, server.FreeCapacity-count)
	f.shares = append(f.shares, Share{int(participant.server), tasks})
}

// placeSingly assigns the tasks of a group one by one, each to the server that bestServer returns.
func (f *groupFiller) placeSingly(groupIndex int, group *Group) {
	for i := range group.Tasks {
		if best := f.bestServer(groupIndex, group); best >= 0 {
			f.assignOne(groupIndex, group, best, group.Tasks[i:i+1:i+1])
		}
	}
}

// assignOne assigns one task of a group to a server.
func (f *groupFiller) assignOne(groupIndex int, group *Group, serverIndex int, tasks []int32) {
	server := &f.servers[serverIndex]
	server.Busy += ceil(1 / server.Mu)
	server.FreeCapacity = max(0, server.FreeCapacity-1)
	if f.leastLoaded != nil {
		f.leastLoaded.fix(serverIndex)
	}
	if _, holdsInputs := slices.BinarySearch(group.Holders, int32(serverIndex)); !holdsInputs {
		f.inputCost.RecordAssignment(groupIndex, serverIndex, 1)
	}
	f.shares = append(f.shares, Share{serverIndex, tasks})
}

// bestServer returns the server on which one more task of a group finishes first, or -1 if no server takes it. The
// candidates are the holders of the group's inputs and, with the cost of copying them, the least busy of all servers.
func (f *groupFiller) bestServer(groupIndex int, group *Group) int {
	best, earliestFinish := -1, 0
	consider := func(i, copySlots int) {
		server := f.servers[i]
		if server.Mu <= 0 {
			return
		}
		finish := server.Busy + copySlots + ceil(1/server.Mu)
		if best < 0 || finish < earliestFinish || finish == earliestFinish && server.FreeCapacity > f.servers[best].FreeCapacity {
			best, earliestFinish = i, finish
		}
	}
	for _, i := range group.Holders {
		consider(int(i), 0)
	}
	if f.inputCost == nil {
		return best
	}
	if f.leastLoaded == nil {
		f.leastLoaded = newBusyHeap(f.servers)
	}
	least := f.leastLoaded.minimum()
	if least >= 0 && (best < 0 || f.servers[least].Busy+f.inputCost.MinCopySlots(groupIndex) < earliestFinish) {
		consider(least, f.inputCost.CopySlots(groupIndex, least))
	}
	return best
}
