// Package settingsloader loads the settings of one entry VM: its name, location, addresses
// and secret. What all VMs share is in the fleet's configuration, package deployer.
package settingsloader

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/strictdecoder"
)

// ErrInvalid is wrapped by each error of this package.
var ErrInvalid = errors.New("invalid settings")

// Settings are the contents of the settings file of one VM.
type Settings struct {
	VM              string `json:"vm"`
	Region          string `json:"region"`
	Domain          string `json:"domain"`
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	PeerAddress     string `json:"peerAddress"`
	PlatformURL     string `json:"platformUrl"`
	// PeerSecretFile is the path of a file with the secret that all VMs of the fleet share.
	PeerSecretFile string `json:"peerSecretFile"`
	// SeedPeers are peer addresses in the failure domain of this VM. They are used while
	// the platform's list of VMs can't be read.
	SeedPeers []string `json:"seedPeers,omitempty"`
	// BalancerLag is the time during which the load balancer may still send requests to a
	// VM that is no longer ready.
	BalancerLag Duration `json:"balancerLag"`
	// DrainTimeout is the time from the start of a shutdown, including BalancerLag, in which
	// batch work must be released and the requests of callers must finish.
	DrainTimeout Duration  `json:"drainTimeout"`
	LogFormat    LogFormat `json:"logFormat"`
	Profiling    bool      `json:"profiling"`
}

// Duration is a time.Duration that is encoded as text, such as 5s.
type Duration time.Duration

// UnmarshalText parses a duration of at least 0.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%w: %q must be a duration, such as 5s", ErrInvalid, text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

const (
	defaultBalancerLag  = Duration(5 * time.Second)
	defaultDrainTimeout = Duration(2 * time.Minute)
)

// LogFormat is the format of log lines.
type LogFormat string

// The formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Example is a valid settings file with all fields.
const Example = `{
  "vm": "entry-1",
  "region": "pwani",
  "domain": "pwani-kariakoo",
  "callerAddress": "127.0.0.1:8080",
  "operatorAddress": "127.0.0.1:8081",
  "peerAddress": "127.0.0.1:8082",
  "platformUrl": "http://127.0.0.1:8090",
  "peerSecretFile": "peer.secret",
  "seedPeers": ["127.0.0.1:8182"],
  "balancerLag": "5s",
  "drainTimeout": "2m",
  "logFormat": "text",
  "profiling": false
}
`

// Load reads, parses and validates a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	settings, err := Parse(text)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Parse parses and validates the text of a settings file. Its error has either the line of a
// syntax error or the line of each invalid field, but of only the first with a wrong type.
// An invalid duration ends the decoding, so that the fields after it are reported as missing.
func Parse(text []byte) (Settings, error) {
	settings := Settings{LogFormat: LogText, BalancerLag: defaultBalancerLag, DrainTimeout: defaultDrainTimeout}
	err := strictdecoder.Decode(text, &settings)
	if errors.Is(err, strictdecoder.ErrSyntax) {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := errors.Join(append(settings.validationErrors(text), err)...); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return settings, nil
}

// validationErrors returns an error with line and field for each invalid field. The text is
// the one that the settings were parsed from.
func (s Settings) validationErrors(text []byte) []error {
	var errs []error
	require := func(ok bool, field, want string) {
		if !ok {
			line := strictdecoder.LineOf(text, field)
			errs = append(errs, fmt.Errorf("line %d: %s: %s", line, field, want))
		}
	}
	require(s.VM != "", "vm", "must not be empty")
	require(s.Region != "", "region", "must not be empty")
	require(s.Domain != "", "domain", "must not be empty")
	require(isIPAndPort(s.CallerAddress), "callerAddress", "must be an IP number and a port, such as 127.0.0.1:8080")
	require(isIPAndPort(s.OperatorAddress), "operatorAddress", "must be an IP number and a port, such as 127.0.0.1:8081")
	require(isIPAndPort(s.PeerAddress), "peerAddress", "must be an IP number and a port, such as 127.0.0.1:8082")
	require(isHTTPURL(s.PlatformURL), "platformUrl", "must be an http or https URL")
	require(s.PeerSecretFile != "", "peerSecretFile", "must name a file")
	for _, seed := range s.SeedPeers {
		require(isIPAndPort(seed), "seedPeers", "must be IP numbers and ports, such as 127.0.0.1:8082")
	}
	require(s.LogFormat == LogText || s.LogFormat == LogJSON, "logFormat", `must be "text" or "json"`)
	return errs
}

// Secret reads the secret from PeerSecretFile, without surrounding white space. It fails if
// the secret is shorter than minSecretLength.
func (s Settings) Secret() ([]byte, error) {
	const minSecretLength = 16
	text, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, fmt.Errorf("%w: peerSecretFile: %w", ErrInvalid, err)
	}
	secret := []byte(strings.TrimSpace(string(text)))
	if len(secret) < minSecretLength {
		return nil, fmt.Errorf("%w: peerSecretFile: must have at least %d characters", ErrInvalid, minSecretLength)
	}
	return secret, nil
}

// isIPAndPort returns whether an address has an IP address and a port that isn't empty.
func isIPAndPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// isHTTPURL returns whether a text is an absolute URL with scheme http or https and a host.
func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
