package batchkeeper

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/lenientdecoder"
)

// Encodings of headers without fields. Earlier releases write null for some.
var (
	emptyMap = []byte{0xa0}
	null     = []byte{0xf6}
)

// Header is the header of an item in the form in which it is stored. While an item waits, its header
// takes as much memory as its bytes. As a map, a short field takes thirty times that:
//
//	2,000 fields of 7 bytes each     14 kB encoded     400 kB as a map
//
// The zero value is an empty header.
type Header struct {
	encoded []byte
}

// NewHeader returns a header with some fields. It panics if they can't be encoded, which no fields cause.
func NewHeader(fields http.Header) Header {
	if len(fields) == 0 {
		return Header{}
	}
	encoded, err := cbor.Marshal(fields)
	if err != nil {
		panic(fmt.Sprintf("encode header: %v", err))
	}
	return Header{encoded: encoded}
}

// Fields returns a copy of the fields. It returns ErrCorrupt if they can't be decoded.
func (h Header) Fields() (http.Header, error) {
	fields := http.Header{}
	if len(h.encoded) == 0 {
		return fields, nil
	}
	if err := lenientdecoder.Decode(h.encoded, &fields); err != nil {
		return nil, fmt.Errorf("%w: header of an item: %w", ErrCorrupt, err)
	}
	return fields, nil
}

// Len returns the size of the header in bytes.
func (h Header) Len() int { return len(h.encoded) }

// MarshalCBOR implements cbor.Marshaler.
func (h Header) MarshalCBOR() ([]byte, error) {
	if len(h.encoded) == 0 {
		return emptyMap, nil
	}
	return h.encoded, nil
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (h *Header) UnmarshalCBOR(encoded []byte) error {
	h.encoded = nil
	if !bytes.Equal(encoded, emptyMap) && !bytes.Equal(encoded, null) {
		h.encoded = bytes.Clone(encoded)
	}
	return nil
}

// Equal returns whether two headers have the same encoding.
func (h Header) Equal(other Header) bool { return bytes.Equal(h.encoded, other.encoded) }
