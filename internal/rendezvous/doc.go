// Package rendezvous implements rendezvous hashing: all hosts choose the same candidate for a key without communicating. When
// a candidate is added or removed, only the keys that map to it move.
package rendezvous
