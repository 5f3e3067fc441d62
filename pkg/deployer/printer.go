package deployer

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/strictdecoder"
)

// Print returns the canonical text of the document. It doesn't depend on the order in which
// the parts of the document were added.
func (doc Document) Print() ([]byte, error) {
	doc.normalize()
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(doc); err != nil {
		return nil, fmt.Errorf("print configuration: %w", err)
	}
	return out.Bytes(), nil
}

// Digest returns the SHA-256 digest of the canonical text, which auditors sign, as
// "sha256:" and hexadecimal digits.
func (doc Document) Digest() (string, error) {
	text, err := doc.Print()
	if err != nil {
		return "", err
	}
	return sha256Digest(text), nil
}

// Parse parses and checks a document. Its error has either the lines of a syntax error, of
// unknown fields and of the first value of a wrong type, or the path of each field that Check
// rejects.
func Parse(text []byte) (Document, error) {
	var doc Document
	if err := strictdecoder.Decode(text, &doc); err != nil {
		return Document{}, fmt.Errorf("parse configuration: %w", err)
	}
	doc.normalize()
	if err := doc.Check(); err != nil {
		return Document{}, err
	}
	return doc, nil
}

// normalize sorts the lists into canonical order. It copies each list that it sorts, so that
// printing a document doesn't reorder the slices that its builder passed in.
func (doc *Document) normalize() {
	doc.Regions = sortedBy(doc.Regions, func(r Region) string { return r.Name })
	for i := range doc.Regions {
		doc.Regions[i].Domains = sortedStrings(doc.Regions[i].Domains)
	}
	doc.Deployments = sortedBy(doc.Deployments, func(d Deployment) string { return d.Name })
	for i := range doc.Deployments {
		d := &doc.Deployments[i]
		d.Regions = sortedStrings(d.Regions)
		d.Models = sortedBy(d.Models, func(m Model) string { return m.Name + "\x00" + m.Version })
		d.Calls = sortedBy(d.Calls, func(c Call) string { return c.Path + "\x00" + c.Method })
	}
	doc.Callers = sortedBy(doc.Callers, func(c Caller) string { return c.Name })
	for i := range doc.Callers {
		doc.Callers[i].Uses = sortedStrings(doc.Callers[i].Uses)
	}
}

func sortedStrings(list []string) []string {
	return sortedBy(list, func(s string) string { return s })
}

func sortedBy[T any](list []T, key func(T) string) []T {
	out := make([]T, len(list))
	copy(out, list)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}
