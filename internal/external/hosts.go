package external

import "context"

// Role is the function of a host in the fleet.
type Role string

// The roles of hosts.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Host is an entry of the platform's host list. Its tags define the JSON form on the wire.
type Host struct {
	// Name identifies the host; it is unique in the list.
	Name string `json:"name"`
	// Role is the host's role: router, engine or service.
	Role Role `json:"role"`
	// Region is the region of the host.
	Region string `json:"region"`
	// Zone is the availability zone of the host.
	Zone string `json:"zone"`
	// Address is the IP address and port for calls.
	Address string `json:"address"`
	// LinkAddress is the IP address and port for links between routers, empty for targets.
	LinkAddress string `json:"link,omitempty"`
	// Model is the name of the model or service that a target serves, empty for routers.
	Model string `json:"model,omitempty"`
	// Slots is the number of requests that a target processes at the same time without slowing down.
	Slots int `json:"slots,omitempty"`
	// Leaving reports whether the host is about to leave the fleet.
	Leaving bool `json:"leaving,omitempty"`
	// Fenced reports whether a target checks fencing tokens.
	Fenced bool `json:"fenced,omitempty"`
}

// HostList is a snapshot of the platform's host list.
type HostList struct {
	// Version increases with each change of the list.
	Version uint64 `json:"version"`
	// Hosts holds the hosts, sorted by name.
	Hosts []Host `json:"hosts"`
}

// HostLister reads the platform's host list.
type HostLister interface {
	// List returns the latest list that the platform publishes, which lags behind the changes of hosts.
	List(ctx context.Context) (HostList, error)
}
