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

// describeDecodeError returns an *InvalidError that says why data could not be decoded into value. It lists all unknown
// fields and a value of the wrong type, or has the text of cause, the decoder's error, if there are neither.
func describeDecodeError(data []byte, value any, cause error) error {
	var faults faultList
	var decoded any
	if json.Unmarshal(data, &decoded) == nil {
		addUnknownFields("", decoded, reflect.TypeOf(value).Elem(), &faults)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(cause, &mismatch) {
		faults.add(mismatch.Field, "is a %s, it must be a %s", mismatch.Value, mismatch.Type.Kind())
	}
	if len(faults) == 0 {
		faults.add("", "%v", cause)
	}
	return faults.err()
}

// addUnknownFields adds a fault for each field of a decoded JSON value that typ does not have, recursively.
func addUnknownFields(path string, value any, typ reflect.Type, faults *faultList) {
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch content := value.(type) {
	case []any:
		if typ.Kind() != reflect.Slice {
			return
		}
		for i, element := range content {
			addUnknownFields(fmt.Sprintf("%s[%d]", path, i), element, typ.Elem(), faults)
		}
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(content)) {
			fieldPath := strings.TrimPrefix(path+"."+name, ".")
			childType, known := fieldType(typ, name)
			if !known {
				faults.add(fieldPath, "is unknown")
				continue
			}
			addUnknownFields(fieldPath, content[name], childType, faults)
		}
	}
}

// fieldType returns the type of the field with a JSON name, and false if typ is a struct without such a field. A map has
// fields of any name. JSON names are compared without regard to case, as encoding/json does.
func fieldType(typ reflect.Type, name string) (reflect.Type, bool) {
	if typ.Kind() == reflect.Map {
		return typ.Elem(), true
	}
	if typ.Kind() != reflect.Struct {
		return typ, true
	}
	for _, field := range reflect.VisibleFields(typ) {
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if strings.EqualFold(tag, name) {
			return field.Type, true
		}
	}
	return nil, false
}
