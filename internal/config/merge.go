package config

import (
	"cmp"
	"slices"
)

// named is an entry of the state with a unique name.
type named interface{ key() string }

// merge returns a list without the elements of drops and with those of added. All lists are sorted and stay as they
// are. The parts of old between the edits are copied as a whole, so that a small edit of a long list is cheap.
func merge[T any](old, drops, added []T, compare func(a, b T) int) []T {
	merged := make([]T, 0, len(old)+len(added))
	for len(drops)+len(added) > 0 {
		drop := len(added) == 0 || len(drops) > 0 && compare(drops[0], added[0]) <= 0
		edits := &added
		if drop {
			edits = &drops
		}
		edit := (*edits)[0]
		*edits = (*edits)[1:]
		i, found := slices.BinarySearchFunc(old, edit, compare)
		merged = append(merged, old[:i]...)
		old = old[i:]
		if !drop {
			merged = append(merged, edit)
		} else if found {
			old = old[1:]
		}
	}
	return append(merged, old...)
}

// replace returns a list that is sorted by name, with entries put in and names taken out.
func replace[E named](old, puts []E, deletes []string) []E {
	if len(puts)+len(deletes) == 0 {
		return old
	}
	return merge(old, present(old, puts, deletes), sorted(puts, byName[E]), byName)
}

// byName orders entries.
func byName[E named](a, b E) int { return cmp.Compare(a.key(), b.key()) }

// sorted returns a sorted copy.
func sorted[T any](list []T, compare func(a, b T) int) []T {
	return slices.SortedFunc(slices.Values(list), compare)
}

// present returns the entries of a list, sorted by name, that have the name of a put or a deleted one.
func present[E named](list, puts []E, deletes []string) []E {
	var entries []E
	for name := range names(puts, deletes) {
		if entry, found := find(list, name); found {
			entries = append(entries, entry)
		}
	}
	return sorted(entries, byName[E])
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
