package membership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// relayShards is the number of parts into which the customers are divided. In each group, one relay reports on each part to the other groups
// and passes on what they report, so that no router sends everything to its whole group.
const relayShards = 8

// LinkGroups divides the routers of a fleet into groups, within which all are linked. A small fleet is one group; otherwise each region is
// one, or each availability zone of a region that is too large. Groups are linked by relays. LinkGroups are immutable.
type LinkGroups struct {
	self Router
	// whole is set if the fleet is one group.
	whole bool
	// largeRegions holds the regions that are divided into their availability zones.
	largeRegions map[string]bool
	// members holds the routers of each group.
	members map[string][]candidate
}

// RelayShards are the parts of the customers that a router reports on to other groups.
type RelayShards [relayShards]bool

// Contains reports whether a customer with a hash belongs to one of the parts.
func (s RelayShards) Contains(customerHash uint32) bool { return s[customerHash%relayShards] }

// NewLinkGroups returns the groups of a fleet for one of its routers. At most maxFullMesh routers form one group unless they are all in the
// same availability zone.
func NewLinkGroups(self Router, routers []Router, maxFullMesh int) LinkGroups {
	groups := LinkGroups{
		self: self, whole: len(routers) <= maxFullMesh, largeRegions: make(map[string]bool), members: make(map[string][]candidate),
	}
	regionSizes := make(map[string]int)
	for _, router := range routers {
		regionSizes[router.Region]++
		groups.largeRegions[router.Region] = regionSizes[router.Region] > maxFullMesh
	}
	for _, router := range routers {
		group := groups.Name(router.Region, router.Zone)
		member := candidate{name: router.Name, hash: xxhash.Sum64String(router.Name)}
		groups.members[group] = append(groups.members[group], member)
	}
	return groups
}

// Name returns the name of the group of a router in an availability zone of a region. It is empty if the fleet is one group.
func (g LinkGroups) Name(region, zone string) string {
	switch {
	case g.whole:
		return ""
	case g.largeRegions[region]:
		return region + "/" + zone
	default:
		return region
	}
}

// Links returns the names of the routers that this router should be linked with: those of its group, and for each part of the customers that
// it is the relay of, the relays of the other groups. Routers that cannot be reached are not chosen as relays, so that others take their
// place.
func (g LinkGroups) Links(isUnreachable func(name string) bool) []string {
	var links []string
	own := g.ownName()
	for _, member := range g.members[own] {
		if member.name != g.self.Name {
			links = append(links, member.name)
		}
	}
	for shard, isRelay := range g.Shards(isUnreachable) {
		if !isRelay {
			continue
		}
		for group := range g.members {
			relay := chooseRelay(g.reachable(group, isUnreachable), group, shard)
			if group != own && relay != "" && !slices.Contains(links, relay) {
				links = append(links, relay)
			}
		}
	}
	return links
}

// Shards returns the parts of the customers that this router is the relay of in its group.
func (g LinkGroups) Shards(isUnreachable func(name string) bool) RelayShards {
	var shards RelayShards
	if g.whole {
		return shards
	}
	own := g.ownName()
	members := g.reachable(own, isUnreachable)
	for shard := range shards {
		shards[shard] = chooseRelay(members, own, shard) == g.self.Name
	}
	return shards
}

// ownName returns the name of this router's group.
func (g LinkGroups) ownName() string { return g.Name(g.self.Region, g.self.Zone) }

// reachable returns the routers of a group that can be reached.
func (g LinkGroups) reachable(group string, isUnreachable func(name string) bool) []candidate {
	return slices.DeleteFunc(slices.Clone(g.members[group]), func(member candidate) bool { return isUnreachable(member.name) })
}

// chooseRelay returns the name of the relay among the routers of a group for a part of the customers, empty if there are none.
func chooseRelay(members []candidate, group string, shard int) string {
	return chooseRouter(members, xxhash.Sum64String(group+"#"+strconv.Itoa(shard)))
}
