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

// link is one connection to a peer that has greeted.
type link struct {
	peer   *wire.Hello
	dialed bool
	conn   *meteredConn
	outbox *outbox
	close  context.CancelFunc
	send   *yamux.Stream
	reader *bufio.Reader
	// ended closes once the loss of the link was told.
	ended chan struct{}
	// certificate is what the peer proved itself by, nil without TLS.
	certificate *x509.Certificate
}

// dialedBy returns the id of the host that opened the connection.
func (k *link) dialedBy(self string) string {
	if k.dialed {
		return self
	}
	return k.peer.GetHostId()
}

// serve greets on the connection, moves frames until it breaks, and returns why it ended.
// Expected is the host id behind a dialed connection, empty for an accepted one.
func (l *Linker) serve(parent context.Context, conn net.Conn, expected string, greeted func()) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	metered := newMeteredConn(conn, l.clock, &l.bytesIn, &l.bytesOut, l.limiter)
	defer metered.Close()
	stop := context.AfterFunc(ctx, func() { metered.Close() })
	defer stop()

	timer := time.AfterFunc(handshakeTimeout, cancel)
	defer timer.Stop()
	dialed := expected != ""
	secured, err := l.secure(ctx, metered, dialed)
	if err != nil {
		return err
	}
	session, err := l.session(secured, dialed)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	k := &link{
		dialed:      dialed,
		conn:        metered,
		outbox:      newOutbox(l.queueLimit),
		close:       cancel,
		ended:       make(chan struct{}),
		certificate: certificateOf(secured),
	}
	if err := l.greet(k, session, expected); err != nil {
		return err
	}
	timer.Stop()
	greeted()
	previous, err := l.register(k)
	if err != nil {
		return err
	}
	defer l.unregister(k)
	if previous != nil {
		<-previous
	}
	l.hook(k.peer.GetHostId(), true)
	return l.pump(ctx, k)
}

// secure makes both sides prove themselves, when there are settings for it.
func (l *Linker) secure(ctx context.Context, conn net.Conn, dialed bool) (net.Conn, error) {
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

func (l *Linker) session(conn net.Conn, dialed bool) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = l.silence
	config.LogOutput = io.Discard
	start := yamux.Server
	if dialed {
		start = yamux.Client
	}
	session, err := start(&joiningConn{Conn: conn}, config)
	return session, errors.Wrap(err, "start yamux")
}

// greet opens one stream in each direction and exchanges the first frames on them.
func (l *Linker) greet(k *link, session *yamux.Session, expected string) error {
	stream, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	hello, err := encode(&wire.Frame{Body: &wire.Frame_Hello{Hello: l.self}})
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
	k.send, k.reader = stream, bufio.NewReader(incoming)
	frame, err := l.read(k)
	if err != nil {
		return errors.Wrap(err, "read hello")
	}
	k.peer = frame.GetHello()
	err = l.check(k.peer, expected)
	if err == nil {
		err = checkName(k.certificate, k.peer.GetHostId())
	}
	if err != nil {
		l.refused.Add(1)
	}
	return err
}

// checkName refuses a host id that the certificate does not name. A certificate without names
// is one for all hosts.
func checkName(certificate *x509.Certificate, id string) error {
	if certificate == nil || len(certificate.DNSNames) == 0 {
		return nil
	}
	if err := certificate.VerifyHostname(id); err != nil {
		return errors.Wrapf(ErrRefused, "host id %q in hello is not in the certificate", id)
	}
	return nil
}

// certificateOf returns what the other side of a connection proved itself by, nil without TLS.
func certificateOf(conn net.Conn) *x509.Certificate {
	secured, ok := conn.(*tls.Conn)
	if !ok || len(secured.ConnectionState().PeerCertificates) == 0 {
		return nil
	}
	return secured.ConnectionState().PeerCertificates[0]
}

// check refuses a greeting that this host cannot work with.
func (l *Linker) check(peer *wire.Hello, expected string) error {
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

// pump moves frames both ways until one direction ends.
func (l *Linker) pump(ctx context.Context, k *link) error {
	ended := make(chan error, 1)
	go func() { ended <- l.write(ctx, k) }()
	err := l.receive(k)
	k.close()
	if writeErr := <-ended; err == nil {
		err = writeErr
	}
	return err
}

func (l *Linker) receive(k *link) error {
	for {
		frame, err := l.read(k)
		if err != nil {
			return err
		}
		if frame.GetBody() == nil {
			l.countUnknown(frame)
			continue
		}
		if frame.GetHello() != nil {
			l.refused.Add(1)
			return errors.Wrap(ErrRefused, "second hello")
		}
		l.framesIn.Add(1)
		if l.handler != nil {
			l.handler(k.peer.GetHostId(), frame)
		}
	}
}

// countUnknown counts a frame of a kind that this release does not know. A frame without
// any content only keeps the link alive.
func (l *Linker) countUnknown(frame *wire.Frame) {
	if len(frame.ProtoReflect().GetUnknown()) > 0 {
		l.refused.Add(1)
	}
}

func (l *Linker) read(k *link) (*wire.Frame, error) {
	frame := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(k.reader, frame)
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		l.refused.Add(1)
		return nil, errors.Wrap(ErrTooLarge, err.Error())
	}
	return frame, errors.Wrap(err, "read frame")
}

func (l *Linker) write(ctx context.Context, k *link) error {
	defer k.close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.outbox.ready:
		}
		batch, frames := k.outbox.take()
		if len(batch) == 0 {
			continue
		}
		if _, err := k.send.Write(batch); err != nil {
			return errors.Wrap(err, "write frames")
		}
		l.framesOut.Add(uint64(frames))
	}
}
