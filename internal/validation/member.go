package validation

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Member is a name/value pair of a JSON object.
type Member struct {
	// Name is the decoded name. Its case is kept, unlike by json.Unmarshal.
	Name string
	// Value is the value in JSON.
	Value json.RawMessage
}

// SplitObject returns the members of a JSON object in their order, including repeated names. The fault is nil if data is a
// single JSON object.
func SplitObject(data []byte) ([]Member, *Fault) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	opening, err := decoder.Token()
	if err != nil {
		return nil, syntaxFault(data, decoder, err)
	}
	if opening != json.Delim('{') {
		return nil, &Fault{Message: "must be one JSON object"}
	}
	var members []Member
	for decoder.More() {
		var member Member
		token, err := decoder.Token()
		if err != nil {
			return nil, syntaxFault(data, decoder, err)
		}
		member.Name, _ = token.(string)
		if err := decoder.Decode(&member.Value); err != nil {
			return nil, syntaxFault(data, decoder, err)
		}
		members = append(members, member)
	}
	if _, err := decoder.Token(); err != nil {
		return nil, syntaxFault(data, decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Fault{Message: "must be one JSON object with nothing after it"}
	}
	return members, nil
}

// DuplicateNames returns a fault for each repetition of a name within an object, at any depth of the value at path. It returns
// none for invalid JSON.
func DuplicateNames(path string, value json.RawMessage) []Fault {
	var faults []Fault
	var elements []json.RawMessage
	if json.Unmarshal(value, &elements) == nil {
		for i, element := range elements {
			faults = append(faults, DuplicateNames(path+"["+strconv.Itoa(i)+"]", element)...)
		}
		return faults
	}
	members, objectFault := SplitObject(value)
	if objectFault != nil {
		return nil
	}
	seen := make(map[string]bool)
	for _, member := range members {
		memberPath := JoinPath(path, member.Name)
		if seen[member.Name] {
			faults = append(faults, Newf(memberPath, "is given twice"))
		}
		seen[member.Name] = true
		faults = append(faults, DuplicateNames(memberPath, member.Value)...)
	}
	return faults
}

// JoinPath returns the path of a field, or of a list element such as [1], within the value at path.
func JoinPath(path, name string) string {
	if path == "" || strings.HasPrefix(name, "[") {
		return path + name
	}
	return path + "." + name
}

// Abbreviate returns a JSON value in one line of at most 80 characters, for use in messages. For invalid JSON it returns the
// text of the syntax error.
func Abbreviate(value json.RawMessage) string {
	const maxRunes = 80
	var line bytes.Buffer
	if err := json.Compact(&line, value); err != nil {
		return err.Error()
	}
	if runes := []rune(line.String()); len(runes) > maxRunes {
		return string(runes[:maxRunes-3]) + "..."
	}
	return line.String()
}

// syntaxFault returns the fault for data that is not valid JSON. Its path is the line of the error.
func syntaxFault(data []byte, decoder *json.Decoder, err error) *Fault {
	offset := decoder.InputOffset()
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = max(offset, syntaxErr.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		offset, err = int64(len(data)), errors.New("the text ends too early")
	}
	line := 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
	return &Fault{Path: fmt.Sprintf("line %d", line), Message: "is not JSON: " + err.Error()}
}
