package suspect

// recordID identifies a crash record: a request, by its fingerprint, and a crash.
type recordID struct {
	fingerprint uint64
	crashID     string
}
