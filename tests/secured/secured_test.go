package secured_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/experimenter"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/mix"
)

const entryCount = 3

// authority signs the certificates of entry hosts.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(c *quicktest.C) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, quicktest.IsNil)
	certificate, err := x509.ParseCertificate(der)
	c.Assert(err, quicktest.IsNil)
	return authority{certificate, key}
}

// newEntryArguments returns the flags of an entry host with a new key and certificate, as PEM text.
func (a authority) newEntryArguments(c *quicktest.C) []string {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, quicktest.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	c.Assert(err, quicktest.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, quicktest.IsNil)
	return []string{
		"--peer-ca", encodePEM("CERTIFICATE", a.certificate.Raw),
		"--peer-certificate", encodePEM("CERTIFICATE", der),
		"--peer-key", encodePEM("EC PRIVATE KEY", keyDER),
	}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// Entry hosts with certificates of one authority connect to each other and serve requests.
func TestHostsWithCertificatesOfOneAuthorityServe(t *testing.T) {
	c := quicktest.New(t)
	bin, err := fleet.Bin()
	c.Assert(err, quicktest.IsNil)
	running, err := fleet.Start(t.Context(), bin, deployment.Kite(),
		fleet.WithEntries(entryCount), fleet.WithEntryArguments(newAuthority(c).newEntryArguments(c)...))
	c.Assert(err, quicktest.IsNil)
	defer func() { c.Check(running.Stop(), quicktest.IsNil) }()
	load := scenario.Scenario{DurationMS: 500, RatePerS: 100, Arrivals: scenario.Constant, Mix: mix.Kite()}
	measured, err := experimenter.New(load, running.EntryAddresses(), time.Now,
		experimenter.WithControls(running.ControlAddresses()...), experimenter.WithHostList(running.HostListURL())).Run(t.Context())
	c.Assert(err, quicktest.IsNil)
	c.Assert(measured.IsClean(), quicktest.IsTrue)
	c.Assert(measured.Served, quicktest.Equals, measured.Sent)
	for _, entry := range running.Entries() {
		var dumped struct {
			Connected []string `json:"connected"`
		}
		c.Assert(running.State(t.Context(), entry.ID, &dumped), quicktest.IsNil)
		c.Assert(dumped.Connected, quicktest.HasLen, entryCount-1)
	}
}
