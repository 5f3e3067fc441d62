package entryvm

import (
	"fmt"
	"testing"

	"github.com/fescuespindle/fescuespindle/internal/control/fleetidentifier"
	"github.com/fescuespindle/fescuespindle/internal/standins/networkreserver"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// Guards against: the link to the store is full, and a VM's metrics don't tell which reads fill it.
func TestMetricsHaveTheBytesOfEachTable(t *testing.T) {
	network := networkreserver.Reserve(t)
	f := startFleet(t, "a", network.IP(1), standin.ConfigurationRow(1), standin.UpstreamRow("u", closedAddress(t), "ready"))
	for _, table := range []string{platform.TableConfiguration, platform.TableUpstreams, fleetidentifier.Table} {
		f.eventually("bytes of table "+table+" are counted", func() bool {
			return f.vm.counter.Get(fmt.Sprintf(`store_read_bytes_total{call="range",table="%s"}`, table)) > 0
		})
	}
}
