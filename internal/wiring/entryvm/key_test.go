package entryvm

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/standins/networkreserver"
	"github.com/fescuespindle/fescuespindle/platform"
	"github.com/fescuespindle/fescuespindle/platform/standin"
)

// shortKeyAge is long enough for a VM whose store answers to know its configuration as the newest all the time.
const shortKeyAge = 4 * time.Second

// statusOf makes a call on a job that doesn't exist with a key, and returns the status.
func (f *fleet) statusOf(key string) int {
	url := "http://" + net.JoinHostPort(f.vm.settings.IP, strconv.Itoa(testCallerPort))
	request := standin.NewJobRead(f.t.Context(), url, "missing")
	standin.SetIdentity(request.Header, standin.WithKey(key))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against: a VM that the store doesn't answer, or that hears of a newer configuration and doesn't get it, goes
// on accepting keys, although the settings say how old they may be.
func TestKeysCountWhileTheConfigurationIsConfirmed(t *testing.T) {
	f := prepareFleet(t, standin.ConfigurationRow(1, "k"), standin.UpstreamRow("u", startUpstream(t), "ready"))
	f.maxKeyAge = shortKeyAge
	f.startVM("a", networkreserver.Reserve(t).IP(1))
	f.eventually("VM serves", f.isServing)
	expect := func(known, unknown int) {
		t.Helper()
		qt.Check(t, f.statusOf("k"), qt.Equals, known)
		qt.Check(t, f.statusOf("x"), qt.Equals, unknown)
	}
	expect(http.StatusNotFound, http.StatusUnauthorized)
	time.Sleep(shortKeyAge)
	expect(http.StatusNotFound, http.StatusUnauthorized)

	f.rejectReads(platform.TableConfiguration)
	time.Sleep(shortKeyAge + time.Second)
	expect(http.StatusServiceUnavailable, http.StatusServiceUnavailable)
	f.rejectReads()
	f.eventually("the key is accepted", func() bool { return f.statusOf("k") == http.StatusNotFound })

	f.vm.configuration.HearOf(f.vm.configuration.NewestRow()+1, time.Now())
	time.Sleep(shortKeyAge)
	expect(http.StatusServiceUnavailable, http.StatusServiceUnavailable)
}
