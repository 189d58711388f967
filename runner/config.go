// Package runner runs one instance: it turns the network, the platform and the
// clock into events for the controller, carries its actions out, and publishes its
// views to the request path.
package runner

import (
	"fmt"
	"net"
	"net/url"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/transporter"
)

// Config holds an instance's process settings.
type Config struct {
	Instance identifier.Instance
	Zone     identifier.Zone
	// CallerAddress, PeerAddress and OperatorAddress are IP and port to listen at:
	// TCP for callers and operators, UDP for peers.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	PlatformURL     string
	PlatformBudget  storer.Budget
	PlatformTimeout time.Duration
	OperatorToken   string
	Identity        transporter.Identity
	// BalancerDelay is the time that the platform's balancer needs to see that an
	// instance is not ready any more.
	BalancerDelay time.Duration
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	Connections     int // Connections to one backend server.
}

// The default process settings.
const (
	DefaultPlatformTimeout = 500 * time.Millisecond
	DefaultPlatformCalls   = 50 // Calls a second, with as many at once.
	DefaultBalancerDelay   = time.Second
	DefaultShutdownTimeout = 20 * time.Second
	DefaultConnections     = 50
)

// SettingError reports a process setting that is not valid.
type SettingError struct {
	Flag     string
	Variable string
	Value    string
	Rule     string
}

// Error names the flag, the environment variable, the value and the rule.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s (%s) %q is not valid: %s", e.Flag, e.Variable, e.Value, e.Rule)
}

// Check checks every process setting.
func (c Config) Check() error {
	if err := identifier.CheckName("Instance", string(c.Instance)); err != nil {
		return &SettingError{"instance", "TURMERICLIFT_INSTANCE", string(c.Instance), err.Error()}
	}
	if err := identifier.CheckName("Zone", string(c.Zone)); err != nil {
		return &SettingError{"zone", "TURMERICLIFT_ZONE", string(c.Zone), err.Error()}
	}
	addresses := []struct{ flag, variable, value string }{
		{"caller-address", "TURMERICLIFT_CALLER_ADDRESS", c.CallerAddress},
		{"peer-address", "TURMERICLIFT_PEER_ADDRESS", c.PeerAddress},
		{"operator-address", "TURMERICLIFT_OPERATOR_ADDRESS", c.OperatorAddress},
	}
	for _, a := range addresses {
		if !isIPAndPort(a.value) {
			return &SettingError{a.flag, a.variable, a.value, "an IP number and a port are needed, as 127.0.0.1:8080"}
		}
	}
	if u, err := url.Parse(c.PlatformURL); err != nil || u.Host == "" {
		return &SettingError{"platform", "TURMERICLIFT_PLATFORM", c.PlatformURL, "a URL is needed, as http://127.0.0.1:7000"}
	}
	if c.OperatorToken == "" {
		return &SettingError{"operator-token", "TURMERICLIFT_OPERATOR_TOKEN", "", "operators' calls need a token"}
	}
	if _, err := c.Identity.TLS(); err != nil {
		return &SettingError{"peer-certificate", "TURMERICLIFT_PEER_CERTIFICATE", "(a file)", err.Error()}
	}
	return nil
}

func isIPAndPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
