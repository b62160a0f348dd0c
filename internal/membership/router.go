package membership

// State is what a router knows of another one.
type State string

// States of a router.
const (
	Up      State = "up"
	Down    State = "down"
	Leaving State = "leaving"
)

// Router is one router of the fleet.
type Router struct {
	// Name is unique in the fleet.
	Name string
	// Region is the router's region.
	Region string
	// Zone is the router's availability zone.
	Zone string
	// LinkAddress is the IP address and port for links.
	LinkAddress string
	// State is what this router knows of it.
	State State
}
