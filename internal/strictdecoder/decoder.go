// Package strictdecoder decodes JSON that people write: it refuses unknown
// fields, trailing text and wrong types, and tells the line of the fault.
package strictdecoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// ErrSyntax is wrapped by every error of Decode.
var ErrSyntax = errors.New("bad JSON document")

// Decode reads text into out.
func Decode(text []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
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
		return fmt.Errorf("%w: line %d: %s: must be a %s, not a %s",
			ErrSyntax, lineAt(text, typed.Offset), typed.Field, typed.Type, typed.Value)
	default:
		return fmt.Errorf("%w: line %d: %w", ErrSyntax, lineOfUnknownField(text, offset, err), err)
	}
}

// lineOfUnknownField finds the line of the first use of a field that the
// decoder refused. The decoder reports the name but not the place.
func lineOfUnknownField(text []byte, offset int64, err error) int {
	var field string
	if _, scanErr := fmt.Sscanf(err.Error(), "json: unknown field %q", &field); scanErr != nil {
		return lineAt(text, offset)
	}
	at := bytes.Index(text, []byte(`"`+field+`"`))
	if at < 0 {
		return lineAt(text, offset)
	}
	return lineAt(text, int64(at))
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// LineOfField returns the line on which a document first uses a field name, or
// 1 if it doesn't.
func LineOfField(text []byte, field string) int {
	return lineAt(text, int64(max(bytes.Index(text, []byte(`"`+field+`"`)), 0)))
}
