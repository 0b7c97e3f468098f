package linker

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarhook.example/lib/wire"
)

const (
	handshakeTimeout = 2 * time.Second
	streamBacklog    = 4
)

// link is one connection to a peer.
type link struct {
	hello        *wire.Hello
	dialedBySelf bool
	conn         *meteredConn
	outbox       *outbox
	close        context.CancelFunc
	sendStream   *yamux.Stream
	reader       *bufio.Reader
	// lossReported is closed after the link hook has been called for the loss of the link.
	lossReported chan struct{}
	// certificate is the peer's TLS certificate, nil without TLS.
	certificate *x509.Certificate
}

// dialedBy returns the id of the host that opened the connection.
func (k *link) dialedBy(self string) string {
	if k.dialedBySelf {
		return self
	}
	return k.hello.GetHostId()
}

// serve performs the handshake on the connection, exchanges frames until the connection fails, and returns the reason.
// Expected is the peer's host id for a dialed connection and empty for an accepted one. handshakeDone is called after
// both hello frames were exchanged.
func (l *Linker) serve(parent context.Context, conn net.Conn, expected string, handshakeDone func()) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	metered := newMeteredConn(conn, l.clock, &l.bytesIn, &l.bytesOut, l.limiter)
	defer metered.Close()
	stop := context.AfterFunc(ctx, func() { metered.Close() })
	defer stop()

	timer := time.AfterFunc(handshakeTimeout, cancel)
	defer timer.Stop()
	dialed := expected != ""
	secured, err := l.handshakeTLS(ctx, metered, dialed)
	if err != nil {
		return err
	}
	session, err := l.startSession(secured, dialed)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	k := &link{
		dialedBySelf: dialed,
		conn:         metered,
		outbox:       newOutbox(l.queueLimit),
		close:        cancel,
		lossReported: make(chan struct{}),
		certificate:  peerCertificate(secured),
	}
	if err := l.exchangeHello(k, session, expected); err != nil {
		return err
	}
	timer.Stop()
	handshakeDone()
	previousLoss, err := l.register(k)
	if err != nil {
		return err
	}
	defer l.unregister(k)
	if previousLoss != nil {
		<-previousLoss
	}
	l.linkHook(k.hello.GetHostId(), true)
	return l.transferFrames(ctx, k)
}

// handshakeTLS performs the TLS handshake and returns the encrypted connection. Without TLS settings it returns conn.
func (l *Linker) handshakeTLS(ctx context.Context, conn net.Conn, dialed bool) (net.Conn, error) {
	if l.tls == nil {
		return conn, nil
	}
	start := tls.Server
	if dialed {
		start = tls.Client
	}
	secured := start(conn, l.tls)
	if err := secured.HandshakeContext(ctx); err != nil {
		l.refused.Add(1)
		return nil, errors.Wrapf(ErrRefused, "TLS: %v", err)
	}
	return secured, nil
}

func (l *Linker) startSession(conn net.Conn, dialed bool) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = l.silenceTimeout
	config.LogOutput = io.Discard
	start := yamux.Server
	if dialed {
		start = yamux.Client
	}
	session, err := start(&coalescingConn{Conn: conn}, config)
	return session, errors.Wrap(err, "start yamux")
}

// exchangeHello opens one stream in each direction, exchanges the hello frames on them and checks the peer's.
func (l *Linker) exchangeHello(k *link, session *yamux.Session, expected string) error {
	stream, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	hello, err := encodeFrame(&wire.Frame{Body: &wire.Frame_Hello{Hello: l.self}})
	if err != nil {
		return err
	}
	if _, err := stream.Write(hello.data); err != nil {
		return errors.Wrap(err, "send hello")
	}
	incoming, err := session.AcceptStream()
	if err != nil {
		return errors.Wrap(err, "accept stream")
	}
	k.sendStream, k.reader = stream, bufio.NewReader(incoming)
	frame, err := l.readFrame(k)
	if err != nil {
		return errors.Wrap(err, "read hello")
	}
	k.hello = frame.GetHello()
	err = l.checkHello(k.hello, expected)
	if err == nil {
		err = checkCertificateName(k.certificate, k.hello.GetHostId())
	}
	if err != nil {
		l.refused.Add(1)
	}
	return err
}

// checkCertificateName refuses a host id that is not among the certificate's DNS names. A certificate without DNS names
// is valid for all hosts.
func checkCertificateName(certificate *x509.Certificate, id string) error {
	if certificate == nil || len(certificate.DNSNames) == 0 {
		return nil
	}
	if err := certificate.VerifyHostname(id); err != nil {
		return errors.Wrapf(ErrRefused, "host id %q in hello is not in the certificate", id)
	}
	return nil
}

// peerCertificate returns the TLS certificate of the connection's other side, nil without TLS.
func peerCertificate(conn net.Conn) *x509.Certificate {
	secured, ok := conn.(*tls.Conn)
	if !ok || len(secured.ConnectionState().PeerCertificates) == 0 {
		return nil
	}
	return secured.ConnectionState().PeerCertificates[0]
}

// checkHello refuses a hello with an unusable or unexpected host id or with a protocol version that differs by more
// than one from this host's own.
func (l *Linker) checkHello(peer *wire.Hello, expected string) error {
	id, version := peer.GetHostId(), peer.GetProtocolVersion()
	switch {
	case id == "" || id == l.self.GetHostId():
		return errors.Wrapf(ErrRefused, "host id %q in hello", id)
	case expected != "" && id != expected:
		return errors.Wrapf(ErrRefused, "host id %q in hello, %q expected", id, expected)
	case max(version, l.self.GetProtocolVersion())-min(version, l.self.GetProtocolVersion()) > 1:
		return errors.Wrapf(ErrRefused, "protocol version %d of %s, own %d", version, id, l.self.GetProtocolVersion())
	default:
		return nil
	}
}

// transferFrames sends and receives frames until one direction ends. It returns the read error, or the write error if
// there is no read error.
func (l *Linker) transferFrames(ctx context.Context, k *link) error {
	writeEnded := make(chan error, 1)
	go func() { writeEnded <- l.writeFrames(ctx, k) }()
	err := l.readFrames(k)
	k.close()
	if writeErr := <-writeEnded; err == nil {
		err = writeErr
	}
	return err
}

func (l *Linker) readFrames(k *link) error {
	for {
		frame, err := l.readFrame(k)
		if err != nil {
			return err
		}
		if frame.GetBody() == nil {
			l.countUnknownFrame(frame)
			continue
		}
		if frame.GetHello() != nil {
			l.refused.Add(1)
			return errors.Wrap(ErrRefused, "second hello")
		}
		l.framesIn.Add(1)
		if l.handler != nil {
			l.handler(k.hello.GetHostId(), frame)
		}
	}
}

// countUnknownFrame counts a frame whose body this release does not know as refused. A frame without
// any content is a keepalive and is not counted.
func (l *Linker) countUnknownFrame(frame *wire.Frame) {
	if len(frame.ProtoReflect().GetUnknown()) > 0 {
		l.refused.Add(1)
	}
}

func (l *Linker) readFrame(k *link) (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(k.reader, frame)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		l.refused.Add(1)
		return nil, errors.Wrap(ErrTooLarge, err.Error())
	}
	return frame, errors.Wrap(err, "read frame")
}

func (l *Linker) writeFrames(ctx context.Context, k *link) error {
	defer k.close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.outbox.ready:
		}
		batch, frames := k.outbox.drain()
		if len(batch) == 0 {
			continue
		}
		if _, err := k.sendStream.Write(batch); err != nil {
			return errors.Wrap(err, "write frames")
		}
		l.framesOut.Add(uint64(frames))
	}
}
