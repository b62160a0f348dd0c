package membership

import (
	"github.com/chicorydale/chicorydale/internal/external"
)

// View returns the current view. It is computed again only after a change.
func (t *Tracker) View() View {
	if t.viewOutdated {
		t.view, t.viewOutdated = t.computeView(), false
		t.viewGeneration++
	}
	return t.view
}

// ViewGeneration returns the number of views computed so far. It changes if and only if View returns a new view.
func (t *Tracker) ViewGeneration() uint64 {
	t.View()
	return t.viewGeneration
}

// computeView combines the host list with the states of its hosts.
func (t *Tracker) computeView() View {
	routers := make([]Router, 0, len(t.hostList.Hosts)+1)
	targets := make([]Target, 0, len(t.hostList.Hosts))
	selfListed := false
	for _, entry := range t.hostList.Hosts {
		leaving := entry.Leaving || t.hostState(entry.Name).leaving
		if entry.Role != external.RoleRouter {
			targets = append(targets, Target{
				Name: entry.Name, IsService: entry.Role == external.RoleService, Region: entry.Region, Zone: entry.Zone,
				Address: entry.Address, Model: entry.Model, Slots: entry.Slots, Leaving: leaving, Fenced: entry.Fenced,
			})
			continue
		}
		router := Router{
			Name: entry.Name, Region: entry.Region, Zone: entry.Zone, LinkAddress: entry.LinkAddress, State: t.routerState(entry.Name),
		}
		if leaving || entry.Name == t.self.Name && t.leaving {
			router.State = Leaving
		}
		selfListed = selfListed || entry.Name == t.self.Name
		routers = append(routers, router)
	}
	if !selfListed {
		routers = append(routers, t.unlistedSelf(len(routers) == 0))
	}
	return NewView(t.self.Name, routers, targets)
}

// unlistedSelf returns this router for a host list that does not contain it. Its state is Down, so that it holds no roles,
// because no other router would send it requests for them. If the list holds no routers at all, its state is Up.
func (t *Tracker) unlistedSelf(onlyRouter bool) Router {
	self := t.self
	switch {
	case t.leaving:
		self.State = Leaving
	case onlyRouter:
		self.State = Up
	default:
		self.State = Down
	}
	return self
}

// routerState returns the state of a listed router as of the last tick, without leaving marks. This router itself is Up.
func (t *Tracker) routerState(name string) State {
	if state, known := t.lastStates[name]; known && name != t.self.Name {
		return state
	}
	return Up
}
