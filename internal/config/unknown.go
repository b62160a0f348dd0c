package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// decodeFaults explains why data could not be read into a value: all unknown fields, else the decoder's own error.
func decodeFaults(data []byte, value any, cause error) error {
	var found faults
	var generic any
	if json.Unmarshal(data, &generic) == nil {
		unknownFields("", generic, reflect.TypeOf(value).Elem(), &found)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(cause, &mismatch) {
		found.add(mismatch.Field, "is a %s, it must be a %s", mismatch.Value, mismatch.Type.Kind())
	}
	if len(found) == 0 {
		found.add("", "%v", cause)
	}
	return found.err()
}

// unknownFields adds a fault for each field of a decoded JSON value that its type does not have.
func unknownFields(path string, value any, kind reflect.Type, found *faults) {
	if kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	switch content := value.(type) {
	case []any:
		if kind.Kind() != reflect.Slice {
			return
		}
		for i, element := range content {
			unknownFields(fmt.Sprintf("%s[%d]", path, i), element, kind.Elem(), found)
		}
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(content)) {
			at := strings.TrimPrefix(path+"."+name, ".")
			field, known := fieldType(kind, name)
			if !known {
				found.add(at, "is unknown")
				continue
			}
			unknownFields(at, content[name], field, found)
		}
	}
}

// fieldType returns the type of a field by its JSON name; a map has fields of any name.
func fieldType(kind reflect.Type, name string) (reflect.Type, bool) {
	if kind.Kind() == reflect.Map {
		return kind.Elem(), true
	}
	if kind.Kind() != reflect.Struct {
		return kind, true
	}
	for _, field := range reflect.VisibleFields(kind) {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if strings.EqualFold(tag, name) {
			return field.Type, true
		}
	}
	return nil, false
}
