// Package lenientdecoder decodes CBOR whose texts may be no UTF-8. Our encoder writes any text and a decoder refuses those that
// are no UTF-8, so one wrong byte from outside would make a whole row or message unreadable:
//
//	{"lastEvent": "\x8e\xa7", "output": ...}    the progress of an item, of a release that took any id for one
//
// What enters is checked where it enters. Rows and messages that releases without these checks have written must still be read:
// a wrong text then costs no more than what it stands for.
package lenientdecoder

import "github.com/fxamacker/cbor/v2"

// mode differs from the default in the handling of texts only.
var mode = func() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Decode decodes data, which must be one value. Errors are those of cbor.Unmarshal, but for texts.
func Decode(data []byte, value any) error {
	return mode.Unmarshal(data, value) //nolint:wrapcheck // callers say what they decode
}

// DecodeFirst decodes the first value in data and returns the rest. Errors are those of cbor.UnmarshalFirst, but for texts.
func DecodeFirst(data []byte, value any) (rest []byte, err error) {
	return mode.UnmarshalFirst(data, value) //nolint:wrapcheck // callers say what they decode
}
