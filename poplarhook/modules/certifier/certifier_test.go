package certifier_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/modules/certifier"
	"poplarhook.example/poplarhook/modules/linker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// authority is a certificate authority for one test.
type authority struct {
	c           *qt.C
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         string
}

func newAuthority(c *qt.C) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	certificate, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return authority{c: c, certificate: certificate, key: key, pem: encode("CERTIFICATE", der)}
}

// issue returns a certificate that expires at the given time, and its key, both as PEM text.
func (a authority) issue(serial int64, expiry time.Time, names ...string) (certificate, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: expiry, DNSNames: names,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &private.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(private)
	a.c.Assert(err, qt.IsNil)
	return encode("CERTIFICATE", der), encode("EC PRIVATE KEY", keyDER)
}

func (a authority) certifier(serial int64, names ...string) *certifier.Certifier {
	certificate, key := a.issue(serial, time.Now().Add(time.Hour), names...)
	issued, err := certifier.New(a.pem, certificate, key)
	a.c.Assert(err, qt.IsNil)
	return issued
}

func encode(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// handshake performs a TLS handshake and returns the serial number of the server's certificate and the errors of both
// sides.
func handshake(c *qt.C, server, client *tls.Config) (serial int64, serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		ended <- tls.Server(conn, server).HandshakeContext(context.Background())
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	secured := tls.Client(conn, client)
	clientErr = secured.HandshakeContext(context.Background())
	if clientErr == nil {
		serial = secured.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	conn.Close()
	return serial, <-ended, clientErr
}

func TestBothSidesVerifyThePeerCertificate(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	good, foreign := ours.certifier(7), theirs.certifier(8)
	serial, serverErr, clientErr := handshake(c, good.Config(), good.Config())
	c.Check(serverErr, qt.IsNil)
	c.Check(clientErr, qt.IsNil)
	c.Check(serial, qt.Equals, int64(7))

	lenient := foreign.Config()
	lenient.VerifyConnection = nil
	_, serverErr, _ = handshake(c, good.Config(), lenient)
	c.Check(errors.Is(serverErr, certifier.ErrUntrusted), qt.IsTrue, qt.Commentf("%v", serverErr))
	_, _, clientErr = handshake(c, lenient, good.Config())
	c.Check(errors.Is(clientErr, certifier.ErrUntrusted), qt.IsTrue, qt.Commentf("%v", clientErr))

	lenient.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	_, serverErr, _ = handshake(c, good.Config(), lenient)
	c.Check(serverErr, qt.IsNotNil)

	expired, key := ours.issue(9, time.Now().Add(-time.Minute))
	late, err := certifier.New(ours.pem, expired, key)
	c.Assert(err, qt.IsNil)
	_, _, clientErr = handshake(c, late.Config(), good.Config())
	c.Check(errors.Is(clientErr, certifier.ErrUntrusted), qt.IsTrue, qt.Commentf("%v", clientErr))
}

func TestChangedFilesAreReloadedAndInvalidOnesAreNot(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	dir := t.TempDir()
	paths := [3]string{}
	write := func(texts ...string) {
		for i, text := range texts {
			paths[i] = filepath.Join(dir, []string{"ca.pem", "certificate.pem", "key.pem"}[i])
			c.Assert(os.WriteFile(paths[i], []byte(text), 0o600), qt.IsNil)
		}
	}
	first, firstKey := a.issue(1, time.Now().Add(time.Hour))
	write(a.pem, first, firstKey)
	files, err := certifier.New(paths[0], paths[1], paths[2], certifier.WithInterval(10*time.Millisecond))
	c.Assert(err, qt.IsNil)
	config, other := files.Config(), a.certifier(99).Config()
	second, secondKey := a.issue(2, time.Now().Add(time.Hour))

	write(a.pem, second)
	changed, err := files.Reload()
	c.Check(errors.Is(err, certifier.ErrInvalid), qt.IsTrue)
	c.Check(changed, qt.IsFalse)
	serial, _, _ := handshake(c, config, other)
	c.Check(serial, qt.Equals, int64(1))

	ctx, cancel := context.WithCancel(context.Background())
	done := files.Run(ctx)
	write(a.pem, second, secondKey)
	for deadline := time.Now().Add(5 * time.Second); serial != 2 && time.Now().Before(deadline); {
		serial, _, _ = handshake(c, config, other)
	}
	c.Check(serial, qt.Equals, int64(2))
	cancel()
	c.Check(<-done, qt.IsNil)
}

func TestErrorsContainTheSettingNameButNotItsValue(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	certificate, key := a.issue(1, time.Now().Add(time.Hour))
	for _, test := range []struct{ ca, certificate, key, want string }{
		{"/no/such/file", certificate, key, "peer-ca: .*"},
		{a.pem, "secret-text", key, "peer-certificate: .*"},
		{a.pem, certificate, "secret-text", "peer-key: .*"},
		{a.pem, certificate, certificate, "peer-certificate and peer-key: .*"},
		{"-----BEGIN nothing", certificate, key, "peer-ca: .*"},
	} {
		_, err := certifier.New(test.ca, test.certificate, test.key)
		c.Check(errors.Is(err, certifier.ErrInvalid), qt.IsTrue)
		c.Check(err, qt.ErrorMatches, test.want)
		c.Check(err, qt.Not(qt.ErrorMatches), ".*secret-text.*")
	}
}

func TestLinksAreMadeOnlyBetweenHostsOfOneAuthority(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	start := func(id string, config *tls.Config) (*linker.Linker, host.Host) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		options := []linker.Option{}
		if config != nil {
			options = append(options, linker.WithTLS(config))
		}
		l := linker.New(&wire.Hello{HostId: id}, options...)
		ctx, cancel := context.WithCancel(context.Background())
		done := l.Run(ctx, listener)
		c.Cleanup(func() {
			cancel()
			c.Check(<-done, qt.IsNil)
		})
		return l, host.Host{ID: id, PeerAddress: listener.Addr().String()}
	}
	a, hostA := start("a", ours.certifier(1).Config())
	b, _ := start("b", ours.certifier(2, "b").Config())
	impostor, _ := start("impostor", ours.certifier(4, "b").Config())
	foreign, _ := start("foreign", theirs.certifier(3).Config())
	plain, _ := start("plain", nil)
	for _, l := range []*linker.Linker{b, impostor, foreign, plain} {
		l.SetPeers([]host.Host{hostA})
	}
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	// Several refusals show that the hosts of other authorities, the impostor and the host without TLS tried and failed
	// more than once.
	for len(a.Connected()) == 0 || a.Counts().Refused < 8 {
		select {
		case <-deadline:
			c.Fatalf("connected %v, refused %d", a.Connected(), a.Counts().Refused)
		case <-tick.C:
		}
	}
	c.Check(a.Connected(), qt.DeepEquals, []string{"b"})
	c.Check(foreign.Connected(), qt.HasLen, 0)
	c.Check(plain.Connected(), qt.HasLen, 0)
}
