package entryvm

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: a long configuration is decoded again each time it is read, which takes small VMs
// the time that requests need.
func TestConfigurationThatIsReadAgainIsNotDecodedAgain(t *testing.T) {
	var log bytes.Buffer
	sink := &configurationSink{vm: &VM{logger: slog.New(slog.NewTextHandler(&log, nil))}}
	row := rowstore.Row{
		Key: rowstore.Key{Table: platform.TableConfiguration, Name: platform.RowConfiguration}, Value: []byte("malformed"),
	}
	decodings := func() int { return strings.Count(log.String(), "malformed configuration") }
	for _, version := range []uint64{1, 1, 1, 2, 2} {
		row.Version = version
		sink.Replace([]rowstore.Row{row})
	}
	qt.Check(t, decodings(), qt.Equals, 2)
}

// Guards against: a configuration whose first application panicked never comes into force.
func TestConfigurationWhoseApplicationPanickedIsTriedAgain(t *testing.T) {
	sink := &configurationSink{vm: &VM{logger: slog.New(slog.DiscardHandler)}} // without a gateway, it panics
	put := standin.ConfigurationRow(1)
	row := rowstore.Row{Key: put.Key, Value: put.Value, Version: 1}
	for range 2 {
		qt.Check(t, func() { sink.Replace([]rowstore.Row{row}) }, qt.PanicMatches, ".*nil pointer.*")
	}
}
