// Package strictdecoder decodes JSON that people write. It lists every unknown
// field with its line and the nearest name that is known, and tells the line of
// a value of the wrong type.
package strictdecoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Errors of this layer; each fault of a document wraps one of them.
var (
	// ErrSyntax means that the text is not one JSON value.
	ErrSyntax = errors.New("bad JSON document")
	// ErrField means that a field is not known or has a value of the wrong type.
	// The others have been read.
	ErrField = errors.New("wrong field")
)

// Decode reads text into out, which must know every field.
func Decode(text []byte, out any) error {
	faults := []error{DecodeKnown(text, out)}
	for _, f := range fieldsOf(text) {
		if names, known := lookUp(reflect.TypeOf(out), f.path); !known {
			faults = append(faults, fmt.Errorf("%w: line %d: %s: unknown field%s", ErrField, f.line, f, hint(f.name(), names)))
		}
	}
	return errors.Join(faults...)
}

// DecodeKnown reads text into out and ignores fields that out doesn't have.
func DecodeKnown(text []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(out); err != nil {
		return describe(text, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: line %d: text after the end of the document", ErrSyntax, lineAt(text, decoder.InputOffset()))
	}
	return nil
}

func describe(text []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("%w: line %d: %w", ErrSyntax, lineAt(text, syntax.Offset), err)
	case errors.As(err, &typed):
		return fmt.Errorf("%w: line %d: %s: must be %s, not %s",
			ErrField, lineAt(text, typed.Offset), typed.Field, withArticle(kindName(typed.Type)), withArticle(typed.Value))
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return fmt.Errorf("%w: line %d: %w", ErrSyntax, lineAt(text, int64(len(text))), err)
	default: // a type that reads itself
		return fmt.Errorf("%w: line %d: %w", ErrField, lineAt(text, offset), err)
	}
}

// kindName names what JSON calls a type.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Slice, reflect.Array:
		return "list"
	default:
		return t.String()
	}
}

func withArticle(noun string) string {
	if noun != "" && strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
