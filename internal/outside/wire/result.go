package wire

// InvokeResponse answers an invocation of a plain service.
type InvokeResponse struct {
	// Values holds the values that the operation returned.
	Values map[string]string `json:"result"`
}
