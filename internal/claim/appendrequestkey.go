package claim

// operationID identifies an operation: a claim is released while its claim record may still be on the way.
type operationID struct {
	claim string
	kind  Kind
}
