package transporter

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"
)

// protocol is the application protocol that instances negotiate.
const protocol = "turmericlift/1"

// serverName is the name that every instance's certificate holds. Instances are
// reached by IP numbers that change, so the certificate authority alone decides
// who is a peer.
const serverName = "turmericlift-instance"

// Identity is the PEM form of an instance's certificate, its key and the authority
// that signs all instances' certificates.
type Identity struct {
	Certificate []byte
	Key         []byte
	Authority   []byte
}

// TLS returns the configuration by which two instances authenticate each other.
func (id Identity) TLS() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(id.Certificate, id.Key)
	if err != nil {
		return nil, fmt.Errorf("peer certificate and key: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(id.Authority) {
		return nil, fmt.Errorf("peer authority holds no certificate in PEM form")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: serverName,
		NextProtos: []string{protocol}, MinVersion: tls.VersionTLS13,
	}, nil
}

// NewIdentities makes a new authority and n identities that it has signed, valid
// from now for the given time; for the development mode and for tests.
func NewIdentities(now time.Time, valid time.Duration, n int) ([]Identity, error) {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	authority := template(now, valid, 1)
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	ids := make([]Identity, n)
	for i := range ids {
		ids[i], err = signed(template(now, valid, int64(i+2)), authority, authorityKey)
		if err != nil {
			return nil, err
		}
		ids[i].Authority = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authorityDER})
	}
	return ids, nil
}

func template(now time.Time, valid time.Duration, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: serverName},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(valid),
		DNSNames: []string{serverName}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func signed(cert, authority *x509.Certificate, authorityKey *ecdsa.PrivateKey) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, fmt.Errorf("make identity: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return Identity{}, fmt.Errorf("make identity: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Identity{}, fmt.Errorf("make identity: %w", err)
	}
	return Identity{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
