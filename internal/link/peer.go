package link

// Peer is a router with which this router may have a session.
type Peer struct {
	// Name is the router's name.
	Name string
	// Address is the IP address and port at which the router accepts sessions. No session is opened if it is empty.
	Address string
	// Region is the router's region; it decides which sent bytes count as traffic across regions.
	Region string
	// Zone is the router's availability zone.
	Zone string
}
