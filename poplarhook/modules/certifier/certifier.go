package certifier

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

var (
	// ErrInvalid means that a setting has no usable certificate, key or certificate authority.
	ErrInvalid = errors.New("invalid peer certificate settings")
	// ErrUntrusted means that the peer's certificate is missing, not valid, or not signed by the authority.
	ErrUntrusted = errors.New("peer certificate is not trusted")
)

const (
	defaultInterval = 5 * time.Second
	pemPrefix       = "-----BEGIN"
)

// Option configures a Certifier.
type Option func(*Certifier)

// WithInterval sets the interval at which the files are checked for changes.
func WithInterval(interval time.Duration) Option {
	return func(c *Certifier) { c.interval = interval }
}

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option {
	return func(c *Certifier) { c.clock = clock }
}

// WithLogger sets the logger for reloads and failed reloads.
func WithLogger(logger *zap.Logger) Option {
	return func(c *Certifier) { c.logger = logger }
}

// Certifier holds this host's certificate and key and the certificate authority that its peers' certificates must be
// signed by.
type Certifier struct {
	sources  sources
	interval time.Duration
	clock    func() time.Time
	logger   *zap.Logger
	current  atomic.Pointer[identity]
}

// sources holds the settings. Each is PEM text or the path of a PEM file.
type sources struct {
	authority, certificate, key string
}

// identity is the content of the sources, as read and as parsed.
type identity struct {
	authorityPEM, certificatePEM, keyPEM []byte

	authority   *x509.CertPool
	certificate tls.Certificate
}

// New returns a Certifier for the three settings, each of which is PEM text or the path of a PEM file. It returns
// ErrInvalid if they can't be used.
func New(authority, certificate, key string, options ...Option) (*Certifier, error) {
	c := &Certifier{
		sources:  sources{authority: authority, certificate: certificate, key: key},
		interval: defaultInterval,
		clock:    time.Now,
		logger:   zap.NewNop(),
	}
	for _, option := range options {
		option(c)
	}
	_, err := c.Reload()
	return c, err
}

// Reload reads the files again and reports whether they changed. On an error the previous certificates stay in use.
func (c *Certifier) Reload() (bool, error) {
	next, err := c.sources.read()
	if err != nil {
		return false, err
	}
	if old := c.current.Load(); old != nil && old.equal(next) {
		return false, nil
	}
	if err := next.parse(); err != nil {
		return false, err
	}
	c.current.Store(next)
	return true, nil
}

// Run checks the files periodically and reloads them when they change, until the context ends. The channel then
// delivers nil and is closed.
func (c *Certifier) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		ticker := time.NewTicker(c.interval)
		defer ticker.Stop()
		failing := false
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
				failing = c.reloadAndLog(failing)
			}
		}
	}()
	return done
}

// reloadAndLog reloads the files and reports whether that failed. A repeated failure is logged only once.
func (c *Certifier) reloadAndLog(failing bool) bool {
	changed, err := c.Reload()
	if changed {
		c.logger.Info("peer certificate reloaded")
	}
	if err != nil && !failing {
		c.logger.Warn("peer certificate not reloaded, the previous one stays in use", zap.String("error", err.Error()))
	}
	return err != nil
}

// Config returns TLS settings for clients and servers. They use the certificates of the latest reload.
func (c *Certifier) Config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// Peers are dialed by address, so the certificate's name can't be compared with the dialed name.
		// VerifyConnection checks on both sides that the certificate is signed by the common authority.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
}

func (c *Certifier) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrUntrusted, "peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         c.current.Load().authority,
		Intermediates: intermediates,
		CurrentTime:   c.clock(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(ErrUntrusted, err.Error())
	}
	return nil
}

func (s sources) read() (*identity, error) {
	authority, err := readPEM("peer-ca", s.authority)
	if err != nil {
		return nil, err
	}
	certificate, err := readPEM("peer-certificate", s.certificate)
	if err != nil {
		return nil, err
	}
	key, err := readPEM("peer-key", s.key)
	if err != nil {
		return nil, err
	}
	return &identity{authorityPEM: authority, certificatePEM: certificate, keyPEM: key}, nil
}

// readPEM returns the value itself if it is PEM text, and otherwise the content of the file with that path. Errors
// contain the setting's name but never its value, which may be a key.
func readPEM(setting, value string) ([]byte, error) {
	if strings.Contains(value, pemPrefix) {
		return []byte(value), nil
	}
	text, err := os.ReadFile(value)
	if errors.Is(err, os.ErrNotExist) {
		return nil, errors.Wrapf(ErrInvalid, "%s: neither PEM text nor a file", setting)
	}
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "%s: the file can't be read", setting)
	}
	return text, nil
}

func (i *identity) parse() error {
	i.authority = x509.NewCertPool()
	if !i.authority.AppendCertsFromPEM(i.authorityPEM) {
		return errors.Wrap(ErrInvalid, "peer-ca: it contains no certificate")
	}
	certificate, err := tls.X509KeyPair(i.certificatePEM, i.keyPEM)
	if err != nil {
		return errors.Wrapf(ErrInvalid, "peer-certificate and peer-key: %v", err)
	}
	i.certificate = certificate
	return nil
}

func (i *identity) equal(other *identity) bool {
	return bytes.Equal(i.authorityPEM, other.authorityPEM) &&
		bytes.Equal(i.certificatePEM, other.certificatePEM) &&
		bytes.Equal(i.keyPEM, other.keyPEM)
}
