package entryvm

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
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
