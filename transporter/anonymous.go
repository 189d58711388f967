package transporter

import (
	"crypto/tls"
	"time"
)

// anonymousValidity is the period for which the certificate of an anonymous identity is valid. Each
// process makes a certificate at its start, and no peer checks it.
const anonymousValidity = 10 * 365 * 24 * time.Hour

// AnonymousTLSConfig returns a TLS configuration that encrypts connections but does not authenticate peers; the
// certificate is valid from now. It is for platforms that issue no certificates to instances: there,
// only the platform's network prevents others from reaching the ports between instances.
func AnonymousTLSConfig(now time.Time) (*tls.Config, error) {
	ids, err := NewIdentities(now, anonymousValidity, 1)
	if err != nil {
		return nil, err
	}
	config, err := ids[0].TLSConfig()
	if err != nil {
		return nil, err
	}
	config.InsecureSkipVerify = true
	config.ClientAuth = tls.NoClientCert
	return config, nil
}
