package wire

// InvokeResponse is the response to an invocation of a plain service.
type InvokeResponse struct {
	// Values holds the values that the operation returned, by name.
	Values map[string]string `json:"result"`
}
