package membership

// State is the state of a router as another router sees it.
type State string

// States of a router.
const (
	// Up routers can hold roles.
	Up State = "up"
	// Down routers have been silent for 2 s or could not be reached.
	Down State = "down"
	// Leaving routers are shutting down and get no roles.
	Leaving State = "leaving"
)

// Router describes one router of the fleet.
type Router struct {
	// Name is unique in the fleet.
	Name string
	// Region is the name of the router's region.
	Region string
	// Zone is the name of the router's availability zone.
	Zone string
	// LinkAddress is the IP address and port on which the router accepts links from other routers.
	LinkAddress string
	// State is the router's state as seen by the owner of the view.
	State State
}
