package strictdecoder

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// field is one field of a document. The path of a field in a list element has no
// index.
type field struct {
	path []string
	line int
}

// String returns the field's path, joined by dots.
func (f field) String() string { return strings.Join(f.path, ".") }

func (f field) name() string { return f.path[len(f.path)-1] }

// fieldsOf returns all fields of a document, nested ones included, in document order
// up to the first syntax error.
func fieldsOf(text []byte) []field {
	w := walker{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	w.value(nil)
	return w.fields
}

// walker reads a document token by token and collects its fields.
type walker struct {
	text    []byte
	decoder *json.Decoder
	fields  []field
}

// value reads one value below a path. It returns false at a syntax error or the end
// of the text.
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

// object reads the fields of an object whose opening brace has been read. It returns
// false at a syntax error or the end of the text.
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
		fieldPath := append(slices.Clone(path), name)
		w.fields = append(w.fields, field{path: fieldPath, line: lineAt(w.text, w.decoder.InputOffset())})
		if !w.value(fieldPath) {
			return false
		}
	}
	_, err := w.decoder.Token()
	return err == nil
}

// LineOf returns the line, from 1, of the first field with a path, which is joined by
// dots. For a missing field, it returns the line of the innermost enclosing field that
// the document has, or 1.
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

// findField returns whether a type has the field with a path. If it doesn't, names are
// the known fields of the struct in which the last element of the path is looked up.
// Fields below an unknown field, or in a type with a custom UnmarshalJSON, count as
// known.
func findField(t reflect.Type, path []string) (names []string, known bool) {
	for i, step := range path {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Array {
			if hasCustomUnmarshal(t) {
				return nil, true
			}
			t = t.Elem()
		}
		if hasCustomUnmarshal(t) {
			return nil, true
		}
		switch t.Kind() {
		case reflect.Map:
			t = t.Elem()
		case reflect.Struct:
			next, found := fieldType(t, step)
			if !found {
				return jsonNames(t), i < len(path)-1
			}
			t = next
		default:
			return nil, true // a value of the wrong type, which the decoder reports
		}
	}
	return nil, true
}

// hasCustomUnmarshal returns whether a type, or the pointer to it, implements
// json.Unmarshaler.
func hasCustomUnmarshal(t reflect.Type) bool {
	unmarshaler := reflect.TypeFor[json.Unmarshaler]()
	return t.Implements(unmarshaler) || reflect.PointerTo(t).Implements(unmarshaler)
}

// fieldType returns the type of the struct field with a JSON name, compared without
// case as encoding/json does.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() && !f.Anonymous && strings.EqualFold(jsonName(f), name) {
			return f.Type, true
		}
	}
	return nil, false
}

// jsonNames returns the JSON names of the fields of a struct.
func jsonNames(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() && !f.Anonymous {
			names = append(names, jsonName(f))
		}
	}
	return names
}

// jsonName returns the name in a field's json tag, or else its Go name.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// suggestion returns a question that names the known field most similar to an unknown
// one, or "" if none is similar.
func suggestion(name string, known []string) string {
	nearest, maxDistance := "", 1+len(name)/3
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d <= maxDistance && k != "-" {
			nearest, maxDistance = k, d-1
		}
	}
	if nearest == "" {
		return ""
	}
	return "; did you mean " + nearest + "?"
}

// editDistance returns the Levenshtein distance between two texts, in bytes.
func editDistance(a, b string) int {
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
