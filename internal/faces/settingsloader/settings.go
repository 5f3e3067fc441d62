// Package settingsloader reads the settings of one entry VM: its own
// addresses, place and secrets. All else is the fleet's configuration.
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

// ErrInvalid is wrapped by every error of this package.
var ErrInvalid = errors.New("invalid settings")

// Settings are the settings of one VM, as its operators write them.
type Settings struct {
	VM              string `json:"vm"`
	Region          string `json:"region"`
	Domain          string `json:"domain"`
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	PeerAddress     string `json:"peerAddress"`
	PlatformURL     string `json:"platformUrl"`
	// PeerSecretFile has the secret that all VMs of the fleet share.
	PeerSecretFile string `json:"peerSecretFile"`
	// SeedPeers are peer addresses of this domain that are asked while the
	// platform's list can't be read.
	SeedPeers []string `json:"seedPeers,omitempty"`
	// BalancerLag is how long the balancer may still send requests to a VM that
	// is not ready any more.
	BalancerLag Duration `json:"balancerLag"`
	// DrainTimeout bounds the time that a stopping VM takes for its requests.
	DrainTimeout Duration  `json:"drainTimeout"`
	LogFormat    LogFormat `json:"logFormat"`
	Profiling    bool      `json:"profiling"`
}

// Duration is a time.Duration that is written as text, such as 5s.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%w: %q must be a duration, such as 5s", ErrInvalid, text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

const (
	defaultBalancerLag  = Duration(5 * time.Second)
	defaultDrainTimeout = Duration(2 * time.Minute)
)

// LogFormat is the form of log lines.
type LogFormat string

// The forms of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Example is a complete settings file.
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

// Load reads and checks a settings file.
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

// Parse reads and checks settings.
func Parse(text []byte) (Settings, error) {
	settings := Settings{LogFormat: LogText, BalancerLag: defaultBalancerLag, DrainTimeout: defaultDrainTimeout}
	err := strictdecoder.Decode(text, &settings)
	if errors.Is(err, strictdecoder.ErrSyntax) {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := errors.Join(append(settings.problems(text), err)...); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return settings, nil
}

func (s Settings) problems(text []byte) []error {
	var problems []error
	require := func(ok bool, field, want string) {
		if !ok {
			line := strictdecoder.LineOf(text, field)
			problems = append(problems, fmt.Errorf("line %d: %s: %s", line, field, want))
		}
	}
	require(s.VM != "", "vm", "must not be empty")
	require(s.Region != "", "region", "must not be empty")
	require(s.Domain != "", "domain", "must not be empty")
	require(isIPAddress(s.CallerAddress), "callerAddress", "must be an IP number and a port, such as 127.0.0.1:8080")
	require(isIPAddress(s.OperatorAddress), "operatorAddress", "must be an IP number and a port, such as 127.0.0.1:8081")
	require(isIPAddress(s.PeerAddress), "peerAddress", "must be an IP number and a port, such as 127.0.0.1:8082")
	require(isHTTP(s.PlatformURL), "platformUrl", "must be an http or https URL")
	require(s.PeerSecretFile != "", "peerSecretFile", "must name a file")
	for _, seed := range s.SeedPeers {
		require(isIPAddress(seed), "seedPeers", "must be IP numbers and ports, such as 127.0.0.1:8082")
	}
	require(s.LogFormat == LogText || s.LogFormat == LogJSON, "logFormat", `must be "text" or "json"`)
	return problems
}

// Secret reads the peers' secret.
func (s Settings) Secret() ([]byte, error) {
	const shortest = 16
	text, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, fmt.Errorf("%w: peerSecretFile: %w", ErrInvalid, err)
	}
	secret := []byte(strings.TrimSpace(string(text)))
	if len(secret) < shortest {
		return nil, fmt.Errorf("%w: peerSecretFile: must have at least %d characters", ErrInvalid, shortest)
	}
	return secret, nil
}

func isIPAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isHTTP(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
