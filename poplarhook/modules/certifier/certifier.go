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
	// ErrInvalid means that a setting holds no usable certificate, key or authority.
	ErrInvalid = errors.New("invalid peer certificate settings")
	// ErrUntrusted means that the other side's certificate is not signed by the authority.
	ErrUntrusted = errors.New("peer certificate is not trusted")
)

const (
	defaultInterval = 5 * time.Second
	pemMark         = "-----BEGIN"
)

// Option changes how a Certifier is built.
type Option func(*Certifier)

// WithInterval sets how often the files are looked at for a change.
func WithInterval(interval time.Duration) Option {
	return func(c *Certifier) { c.interval = interval }
}

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(c *Certifier) { c.clock = clock }
}

// WithLogger sets where a change of the keys is logged.
func WithLogger(logger *zap.Logger) Option {
	return func(c *Certifier) { c.logger = logger }
}

// Certifier holds this host's certificate and the authority of its peers.
type Certifier struct {
	sources  sources
	interval time.Duration
	clock    func() time.Time
	logger   *zap.Logger
	current  atomic.Pointer[identity]
}

// sources are the settings: each is PEM text, or the path of a file with it.
type sources struct {
	authority, certificate, key string
}

// identity is what one reading of the sources gave.
type identity struct {
	authorityPEM, certificatePEM, keyPEM []byte

	authority   *x509.CertPool
	certificate tls.Certificate
}

// New returns a Certifier by three settings, each PEM text or a file's path, or ErrInvalid.
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

// Reload reads the settings' files anew and reports whether they changed; on an error the old ones stay in use.
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

// Run reloads the files when they change until the context ends; the channel then carries nil and closes.
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
				failing = c.refresh(failing)
			}
		}
	}()
	return done
}

// refresh reloads and returns whether that failed; it logs only changes of state.
func (c *Certifier) refresh(failing bool) bool {
	changed, err := c.Reload()
	if changed {
		c.logger.Info("peer certificate reloaded")
	}
	if err != nil && !failing {
		c.logger.Warn("peer certificate not reloaded, the old one stays in use", zap.String("error", err.Error()))
	}
	return err != nil
}

// Config returns settings for both ends of a link, which follow every reload.
func (c *Certifier) Config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// Peers are called by address and hold a certificate of the common authority;
		// VerifyConnection checks it on both sides, so the check by name is left out.
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
		return errors.Wrap(ErrUntrusted, "no certificate shown")
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

// readPEM returns the text itself or the file that it names. Errors hold the setting's name but
// never its text, which may be a key.
func readPEM(setting, value string) ([]byte, error) {
	if strings.Contains(value, pemMark) {
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
		return errors.Wrap(ErrInvalid, "peer-ca: no certificate in it")
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
