package suspect

// recordID identifies a crash record.
type recordID struct {
	fingerprint uint64
	crash       string
}
