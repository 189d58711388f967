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

// protocolName is the name of the application protocol that instances negotiate (ALPN).
const protocolName = "turmericlift/1"

// serverName is the host name in the certificate of every instance. Instances are reached by IP
// addresses, which change, so a certificate does not identify one of them: whoever has a certificate
// of the common authority is accepted as a peer.
const serverName = "turmericlift-instance"

// Identity holds what an instance needs to authenticate itself to its peers and to check theirs, each
// in PEM form.
type Identity struct {
	Certificate []byte // The instance's certificate.
	Key         []byte // The private key of Certificate.
	Authority   []byte // The certificate of the authority that signs the certificates of all instances.
}

// TLSConfig returns the configuration, for listening and for dialing, by which two instances authenticate each
// other. It returns an error if a part of the identity is not valid PEM or the key does not match.
func (id Identity) TLSConfig() (*tls.Config, error) {
	cert, err := tls.X509KeyPair(id.Certificate, id.Key)
	if err != nil {
		return nil, fmt.Errorf("peer certificate and key: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(id.Authority) {
		return nil, fmt.Errorf("peer authority has no certificate in PEM form")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: serverName,
		NextProtos: []string{protocolName}, MinVersion: tls.VersionTLS13,
	}, nil
}

// NewIdentities creates a new authority and returns n identities with certificates that it has signed.
// They are valid from one hour before now until valid after now. It is for the development mode and
// for tests.
func NewIdentities(now time.Time, valid time.Duration, n int) ([]Identity, error) {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	authority := certificateTemplate(now, valid, 1)
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	ids := make([]Identity, n)
	for i := range ids {
		ids[i], err = newIdentity(certificateTemplate(now, valid, int64(i+2)), authority, authorityKey)
		if err != nil {
			return nil, err
		}
		ids[i].Authority = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authorityDER})
	}
	return ids, nil
}

// certificateTemplate returns the fields that the certificates of the authority and of instances share.
func certificateTemplate(now time.Time, valid time.Duration, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: serverName},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(valid),
		DNSNames: []string{serverName}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// newIdentity returns an identity without Authority: a new key, and cert signed by the authority.
func newIdentity(cert, authority *x509.Certificate, authorityKey *ecdsa.PrivateKey) (Identity, error) {
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
