package link

// Peer is a router that this one may hold a session with.
type Peer struct {
	// Name is the router's name.
	Name string
	// Address is the IP address and port of its links.
	Address string
	// Region is the router's region, to count traffic that crosses regions.
	Region string
	// Zone is the router's availability zone.
	Zone string
}
