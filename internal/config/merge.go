package config

import (
	"cmp"
	"slices"
)

// namedEntry is a template, customer or service. Its name is unique among the entries of its kind.
type namedEntry interface{ entryName() string }

// merge returns a copy of a sorted list without the elements in removed and with those in added. All lists are sorted by
// compare and are not modified. The runs of the list between two edits are copied as a whole, so that a small edit of a
// long list is cheap.
func merge[T any](rest, removed, added []T, compare func(a, b T) int) []T {
	merged := make([]T, 0, len(rest)+len(added))
	for len(removed)+len(added) > 0 {
		removing := len(added) == 0 || len(removed) > 0 && compare(removed[0], added[0]) <= 0
		source := &added
		if removing {
			source = &removed
		}
		element := (*source)[0]
		*source = (*source)[1:]
		i, found := slices.BinarySearchFunc(rest, element, compare)
		merged = append(merged, rest[:i]...)
		rest = rest[i:]
		if !removing {
			merged = append(merged, element)
		} else if found {
			rest = rest[1:]
		}
	}
	return append(merged, rest...)
}

// replaceByName returns a list that is sorted by name, with the entries of puts added or replaced and those named in
// deletes removed.
func replaceByName[E namedEntry](old, puts []E, deletes []string) []E {
	if len(puts)+len(deletes) == 0 {
		return old
	}
	return merge(old, entriesToReplace(old, puts, deletes), sortedCopy(puts, compareNames[E]), compareNames)
}

// compareNames compares two entries by name.
func compareNames[E namedEntry](a, b E) int { return cmp.Compare(a.entryName(), b.entryName()) }

// sortedCopy returns a copy of a list, sorted by compare.
func sortedCopy[T any](list []T, compare func(a, b T) int) []T {
	return slices.SortedFunc(slices.Values(list), compare)
}

// entriesToReplace returns those entries, sorted by name, that puts replace or deletes remove.
func entriesToReplace[E namedEntry](entries, puts []E, deletes []string) []E {
	var matches []E
	for name := range nameSet(puts, deletes) {
		if entry, found := findByName(entries, name); found {
			matches = append(matches, entry)
		}
	}
	return sortedCopy(matches, compareNames[E])
}

// nameSet returns the set of the names of entries and of the extra names.
func nameSet[E namedEntry](entries []E, extra []string) map[string]bool {
	set := make(map[string]bool, len(entries)+len(extra))
	for _, entry := range entries {
		set[entry.entryName()] = true
	}
	for _, name := range extra {
		set[name] = true
	}
	return set
}

// findByName returns the entry with a name from a list that is sorted by name.
func findByName[E namedEntry](entries []E, name string) (E, bool) {
	i, found := slices.BinarySearchFunc(entries, name, func(e E, n string) int { return cmp.Compare(e.entryName(), n) })
	if !found {
		var none E
		return none, false
	}
	return entries[i], true
}

// cloneAll returns the copies that clone makes of the entries.
func cloneAll[T any, E namedEntry](entries []T, clone func(T) E) []E {
	copies := make([]E, 0, len(entries))
	for _, entry := range entries {
		copies = append(copies, clone(entry))
	}
	return copies
}

// derefAll returns shallow copies of the entries, which share their maps and slices with the list.
func derefAll[T any](list []*T) []T {
	copies := make([]T, 0, len(list))
	for _, entry := range list {
		copies = append(copies, *entry)
	}
	return copies
}
