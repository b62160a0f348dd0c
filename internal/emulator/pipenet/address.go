package pipenet

// address implements net.Addr.
type address string

// Network names the kind of network.
func (address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }
