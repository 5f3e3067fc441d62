package eventreader_test

import (
	"strings"
	"testing"

	"github.com/fescuespindle/fescuespindle/internal/online/eventreader"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// BenchmarkNext measures a stream of 200 events of 100 bytes.
func BenchmarkNext(b *testing.B) {
	var text strings.Builder
	for n := 1; n <= 200; n++ {
		text.WriteString(strings.TrimRight(standin.EventText("0123456789abcdef", n), "\n") + strings.Repeat("x", 70) + "\n\n")
	}
	b.ReportAllocs()
	for b.Loop() {
		events := eventreader.New(strings.NewReader(text.String()), "")
		last := ""
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			if event.HasData() {
				last = events.LastEvent()
			}
		}
		if last != "200" {
			b.Fatal(last)
		}
		events.Close()
	}
}
