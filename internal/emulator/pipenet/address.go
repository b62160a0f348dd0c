package pipenet

// address implements net.Addr.
type address string

// Network returns the name of the network.
func (address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }
