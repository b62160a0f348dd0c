package outside

import "context"

// Role is what a host of the platform's list does.
type Role string

// Roles of hosts.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Host is one entry of the platform's host list. Its tags define the JSON form.
type Host struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Role is router, engine or service.
	Role Role `json:"role"`
	// Region is the host's region.
	Region string `json:"region"`
	// Zone is the host's availability zone.
	Zone string `json:"zone"`
	// Address is the IP address and port for calls.
	Address string `json:"address"`
	// LinkAddress is the IP address and port for links, for routers only.
	LinkAddress string `json:"link,omitempty"`
	// Model is the model or service that a target serves.
	Model string `json:"model,omitempty"`
	// Slots is the number of requests that a target runs at the same time without loss of rate.
	Slots int `json:"slots,omitempty"`
	// Leaving is set if the host is about to leave.
	Leaving bool `json:"leaving,omitempty"`
	// Fenced is set if a target checks fencing numbers.
	Fenced bool `json:"fenced,omitempty"`
}

// HostList is a snapshot of the platform's host list.
type HostList struct {
	// Version grows with each change of the list.
	Version uint64 `json:"version"`
	// Hosts is sorted by name.
	Hosts []Host `json:"hosts"`
}

// HostLister reads the platform's lagging host list.
type HostLister interface {
	// List returns the newest list that the platform shows.
	List(ctx context.Context) (HostList, error)
}
