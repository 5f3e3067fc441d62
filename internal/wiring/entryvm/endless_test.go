package entryvm

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/standins/networkreserver"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// longHeaderBytes is more than a VM reads of any header, and less than the standard server reads.
const longHeaderBytes = 128 << 10

// Guards against: a request whose header never ends, of which a listener keeps 1 MB for each connection.
func TestLongHeaderIsRejected(t *testing.T) {
	f := startFleet(t, "a", networkreserver.Reserve(t).IP(1), standin.ConfigurationRow(1),
		standin.UpstreamRow("u", startUpstream(t), "ready"))
	f.eventually("VM serves", f.isServing)
	for name, port := range map[string]int{
		"callers": testCallerPort, "balancer": testReadyPort, "peers": testPeerPort, "metrics": metricsPort,
	} {
		t.Run(name, func(t *testing.T) {
			url := "http://" + net.JoinHostPort(f.vm.settings.IP, strconv.Itoa(port)) + "/"
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
			qt.Assert(t, err, qt.IsNil)
			request.Header.Set("X-Long", strings.Repeat("a", longHeaderBytes))
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventTimeout}
			response, err := client.Do(request)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			qt.Check(t, response.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		})
	}
}
