// Package runner runs one instance. It turns network messages, answers of the platform and the clock into events for
// the controller, carries out the controller's actions, and publishes the controller's views to the request path.
// Start in runner.go with New and Run, the control loop and the graceful shutdown. actions.go carries out actions and
// reads from the platform, callers.go and operators.go serve HTTP, guard.go shares the quarantine of requests that
// crash backend servers, and config.go holds the process settings.
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

// Config holds the process settings of an instance. Check must accept them.
type Config struct {
	Instance identifier.Instance
	Zone     identifier.Zone
	// CallerAddress, PeerAddress and OperatorAddress are the IP addresses and ports to listen at: TCP for callers and
	// operators, UDP for peers.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	PlatformURL     string
	PlatformBudget  storer.Budget
	PlatformTimeout time.Duration
	OperatorToken   string
	Identity        transporter.Identity
	// BalancerDelay is the time that the platform's load balancer needs to notice that an instance is no longer ready.
	BalancerDelay time.Duration
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// MaxServerConnections is the maximum number of connections to one backend server.
	MaxServerConnections int
}

// Default values of process settings.
const (
	DefaultPlatformTimeout        = 500 * time.Millisecond
	DefaultPlatformCallsPerSecond = 50 // DefaultPlatformCallsPerSecond is both the calls per second and the burst.
	DefaultBalancerDelay          = time.Second
	DefaultShutdownTimeout        = 20 * time.Second
	DefaultMaxServerConnections   = 50
)

// SettingError reports a process setting that is not valid. Flag and Variable are the flag and the environment variable
// that set it; Reason says what the value violates.
type SettingError struct {
	Flag     string
	Variable string
	Value    string
	Reason   string
}

// Error returns the flag, the environment variable, the value and the rule in one line.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s (%s) %q is not valid: %s", e.Flag, e.Variable, e.Value, e.Reason)
}

// Check returns nil if the names, addresses, URL, token and identity are valid, else a *SettingError for the first that
// is not.
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
			return &SettingError{a.flag, a.variable, a.value, "must be an IP address and a port, such as 127.0.0.1:8080"}
		}
	}
	if u, err := url.Parse(c.PlatformURL); err != nil || u.Host == "" {
		return &SettingError{"platform", "TURMERICLIFT_PLATFORM", c.PlatformURL, "must be a URL, such as http://127.0.0.1:7000"}
	}
	if c.OperatorToken == "" {
		return &SettingError{"operator-token", "TURMERICLIFT_OPERATOR_TOKEN", "", "must not be empty: operators' calls carry it"}
	}
	if _, err := c.Identity.TLSConfig(); err != nil {
		return &SettingError{"peer-certificate", "TURMERICLIFT_PEER_CERTIFICATE", "(a file)", err.Error()}
	}
	return nil
}

func isIPAndPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
