package transporter

import (
	"crypto/tls"
	"time"
)

// anonymousValid is how long the certificate of an anonymous identity is valid: a
// process makes one at its start and nobody checks it.
const anonymousValid = 10 * 365 * 24 * time.Hour

// Anonymous returns a configuration that encrypts and authenticates nobody. It is for
// platforms that hand out no certificates: there, only the platform's network keeps
// others from the ports between instances.
func Anonymous(now time.Time) (*tls.Config, error) {
	ids, err := NewIdentities(now, anonymousValid, 1)
	if err != nil {
		return nil, err
	}
	config, err := ids[0].TLS()
	if err != nil {
		return nil, err
	}
	config.InsecureSkipVerify = true
	config.ClientAuth = tls.NoClientCert
	return config, nil
}
