package strictdecoder

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// field is one field of a document. Elements of a list have the path of the
// list.
type field struct {
	path []string
	line int
}

// String returns the field's path with dots.
func (f field) String() string { return strings.Join(f.path, ".") }

func (f field) name() string { return f.path[len(f.path)-1] }

// fieldsOf returns the fields of a document in their order, up to the first
// syntax error.
func fieldsOf(text []byte) []field {
	w := walker{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	w.value(nil)
	return w.fields
}

// walker reads a document token by token.
type walker struct {
	text    []byte
	decoder *json.Decoder
	fields  []field
}

// value reads one value and returns whether there was one.
func (w *walker) value(path []string) bool {
	token, err := w.decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		for w.decoder.More() {
			if !w.value(path) {
				return false
			}
		}
		_, err = w.decoder.Token()
	}
	return err == nil
}

func (w *walker) object(path []string) bool {
	for w.decoder.More() {
		key, err := w.decoder.Token()
		if err != nil {
			return false
		}
		name, isName := key.(string)
		if !isName {
			return false
		}
		own := append(slices.Clone(path), name)
		w.fields = append(w.fields, field{path: own, line: lineAt(w.text, w.decoder.InputOffset())})
		if !w.value(own) {
			return false
		}
	}
	_, err := w.decoder.Token()
	return err == nil
}

// LineOf returns the line on which a document first has a field, given by its
// path with dots. A field that it doesn't have is on the line of the nearest one
// around it, or on line 1.
func LineOf(text []byte, path string) int {
	fields := fieldsOf(text)
	for want := strings.Split(path, "."); len(want) > 0; want = want[:len(want)-1] {
		for _, f := range fields {
			if slices.Equal(f.path, want) {
				return f.line
			}
		}
	}
	return 1
}

// lookUp tells whether a type has a field, and returns the names that it has
// where the last step of the path looks. What lies below an unknown field, or in
// a type that reads itself, counts as known.
func lookUp(t reflect.Type, path []string) (names []string, known bool) {
	for i, step := range path {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Array {
			if readsItself(t) {
				return nil, true
			}
			t = t.Elem()
		}
		if readsItself(t) {
			return nil, true
		}
		switch t.Kind() {
		case reflect.Map:
			t = t.Elem()
		case reflect.Struct:
			next, found := fieldNamed(t, step)
			if !found {
				return namesOf(t), i < len(path)-1
			}
			t = next
		default:
			return nil, true // a value of the wrong type, which decoding tells
		}
	}
	return nil, true
}

func readsItself(t reflect.Type) bool {
	reader := reflect.TypeFor[json.Unmarshaler]()
	return t.Implements(reader) || reflect.PointerTo(t).Implements(reader)
}

func fieldNamed(t reflect.Type, name string) (reflect.Type, bool) {
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() && !f.Anonymous && strings.EqualFold(nameOf(f), name) {
			return f.Type, true
		}
	}
	return nil, false
}

func namesOf(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() && !f.Anonymous {
			names = append(names, nameOf(f))
		}
	}
	return names
}

func nameOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// hint names the known field that is nearest to an unknown one, if any is near.
func hint(name string, known []string) string {
	nearest, least := "", 1+len(name)/3
	for _, k := range known {
		if d := distance(strings.ToLower(name), strings.ToLower(k)); d <= least && k != "-" {
			nearest, least = k, d-1
		}
	}
	if nearest == "" {
		return ""
	}
	return "; did you mean " + nearest + "?"
}

// distance returns how many letters must be put in, left out or replaced to get
// from one text to another.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}
