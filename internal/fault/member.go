package fault

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Member is one name and value of a JSON object.
type Member struct {
	// Name is the name as it is written.
	Name string
	// Value is the JSON of the value.
	Value json.RawMessage
}

// SplitObject reads the members of a JSON object in their order, repeated ones included.
func SplitObject(data []byte) ([]Member, *Fault) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	opening, err := decoder.Token()
	if err != nil {
		return nil, syntax(data, decoder, err)
	}
	if opening != json.Delim('{') {
		return nil, &Fault{Message: "must be one JSON object"}
	}
	var members []Member
	for decoder.More() {
		var next Member
		token, err := decoder.Token()
		if err != nil {
			return nil, syntax(data, decoder, err)
		}
		next.Name, _ = token.(string)
		if err := decoder.Decode(&next.Value); err != nil {
			return nil, syntax(data, decoder, err)
		}
		members = append(members, next)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, syntax(data, decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Fault{Message: "must be one JSON object with nothing after it"}
	}
	return members, nil
}

// DuplicateNames returns a fault for each name that an object within the value has twice, at any depth.
func DuplicateNames(path string, value json.RawMessage) []Fault {
	var faults []Fault
	var elements []json.RawMessage
	if json.Unmarshal(value, &elements) == nil {
		for i, element := range elements {
			faults = append(faults, DuplicateNames(path+"["+strconv.Itoa(i)+"]", element)...)
		}
		return faults
	}
	members, wrong := SplitObject(value)
	if wrong != nil {
		return nil
	}
	seen := make(map[string]bool)
	for _, member := range members {
		inner := JoinPath(path, member.Name)
		if seen[member.Name] {
			faults = append(faults, Newf(inner, "is given twice"))
		}
		seen[member.Name] = true
		faults = append(faults, DuplicateNames(inner, member.Value)...)
	}
	return faults
}

// JoinPath returns the path of a field, or of an element such as [1], within the value at a path.
func JoinPath(path, name string) string {
	if path == "" || strings.HasPrefix(name, "[") {
		return path + name
	}
	return path + "." + name
}

// Abbreviate returns a JSON value in one line of at most 80 characters.
func Abbreviate(value json.RawMessage) string {
	const limit = 80
	var line bytes.Buffer
	if err := json.Compact(&line, value); err != nil {
		return err.Error()
	}
	if runes := []rune(line.String()); len(runes) > limit {
		return string(runes[:limit-3]) + "..."
	}
	return line.String()
}

// syntax returns the fault of text that is not JSON, with its line.
func syntax(data []byte, decoder *json.Decoder, err error) *Fault {
	offset := decoder.InputOffset()
	var wrong *json.SyntaxError
	if errors.As(err, &wrong) {
		offset = max(offset, wrong.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		offset, err = int64(len(data)), errors.New("the text ends too early")
	}
	line := 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
	return &Fault{Path: fmt.Sprintf("line %d", line), Message: "is not JSON: " + err.Error()}
}
