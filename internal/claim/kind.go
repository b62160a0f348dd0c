package claim

// RecordKind is the kind of a record of a claim stream.
type RecordKind byte

// Record kinds. The values are stored in the log.
const (
	// KindClaim claims a key.
	KindClaim RecordKind = 1
	// KindDone stores the answer to the request of the claim that holds the key.
	KindDone RecordKind = 2
	// KindRelease gives up a claim whose request did not run and will not be sent.
	KindRelease RecordKind = 3
)
