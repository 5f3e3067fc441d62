// Package strictdecoder decodes handwritten JSON with precise error messages. It
// lists every unknown field with its line and the most similar known name, and
// reports the line of a value of the wrong type.
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

// Each error that this package returns wraps one of these.
var (
	// ErrSyntax means that the text is not exactly one JSON value.
	ErrSyntax = errors.New("bad JSON document")
	// ErrField means that a field is unknown or has an invalid value. The other fields
	// have been decoded, unless a custom UnmarshalJSON or UnmarshalText method returned
	// the error, which ends the decoding. Of several values of the wrong type, only the
	// first is reported.
	ErrField = errors.New("wrong field")
)

// Decode decodes text into the value that out points to. Its error joins the one of
// DecodeKnown and an ErrField for each field of the text that out doesn't have.
func Decode(text []byte, out any) error {
	errs := []error{DecodeKnown(text, out)}
	for _, f := range fieldsOf(text) {
		if names, known := findField(reflect.TypeOf(out), f.path); !known {
			errs = append(errs, fmt.Errorf(
				"%w: line %d: %s: unknown field%s", ErrField, f.line, f, suggestion(f.name(), names)))
		}
	}
	return errors.Join(errs...)
}

// DecodeKnown decodes text into the value that out points to and ignores fields that
// out doesn't have.
func DecodeKnown(text []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(out); err != nil {
		return describeError(text, decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: line %d: text after the end of the document", ErrSyntax, lineAt(text, decoder.InputOffset()))
	}
	return nil
}

// describeError adds the line to an error of encoding/json, and wraps ErrSyntax or
// ErrField. The offset is the decoder's, for errors without an offset of their own.
func describeError(text []byte, offset int64, err error) error {
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
	default: // returned by a custom UnmarshalJSON or UnmarshalText
		return fmt.Errorf("%w: line %d: %w", ErrField, lineAt(text, offset), err)
	}
}

// kindName returns the JSON name of an object or list type, or the Go name of any
// other type.
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

// withArticle prepends the indefinite article to a noun.
func withArticle(noun string) string {
	if noun != "" && strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}

// lineAt returns the line, from 1, of a byte offset.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
