package config

import (
	"cmp"
	"slices"
)

// named is an entry of the state with a unique name.
type named interface{ key() string }

// merge joins two sorted lists, without the elements of old that drop selects. The lists stay as they are.
func merge[T any](old, added []T, drop func(T) bool, compare func(a, b T) int) []T {
	merged := make([]T, 0, len(old)+len(added))
	for _, element := range old {
		if drop(element) {
			continue
		}
		for len(added) > 0 && compare(added[0], element) < 0 {
			merged = append(merged, added[0])
			added = added[1:]
		}
		merged = append(merged, element)
	}
	return append(merged, added...)
}

// replace returns a list that is sorted by name, with entries put in and names taken out. It takes over puts.
func replace[E named](old, puts []E, deletes []string) []E {
	if len(puts)+len(deletes) == 0 {
		return old
	}
	compare := func(a, b E) int { return cmp.Compare(a.key(), b.key()) }
	slices.SortFunc(puts, compare)
	changed := names(puts, deletes)
	return merge(old, puts, func(e E) bool { return changed[e.key()] }, compare)
}

// names returns the set of the entries' names and the further names.
func names[E named](entries []E, further []string) map[string]bool {
	set := make(map[string]bool, len(entries)+len(further))
	for _, entry := range entries {
		set[entry.key()] = true
	}
	for _, name := range further {
		set[name] = true
	}
	return set
}

// find returns the entry of a name in a list that is sorted by name.
func find[E named](list []E, name string) (E, bool) {
	i, found := slices.BinarySearchFunc(list, name, func(e E, n string) int { return cmp.Compare(e.key(), n) })
	if !found {
		var none E
		return none, false
	}
	return list[i], true
}

// clones returns deep copies of entries.
func clones[T any, E named](entries []T, clone func(T) E) []E {
	copies := make([]E, 0, len(entries))
	for _, entry := range entries {
		copies = append(copies, clone(entry))
	}
	return copies
}

// values returns the entries by value; they share their maps and slices with the list.
func values[T any](list []*T) []T {
	all := make([]T, 0, len(list))
	for _, entry := range list {
		all = append(all, *entry)
	}
	return all
}
