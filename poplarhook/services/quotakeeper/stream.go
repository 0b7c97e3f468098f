package quotakeeper

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/delegator"
	"poplarhook.example/poplarhook/models/token"
)

const (
	// Path is the path of the streams to the pool host.
	Path = "/v1/quota"
	// headerHost is the header of a stream with the id of the asking host.
	headerHost = "Poplarhook-Host"
	// connectTimeout limits the time to connect; the delegator gives up a pool host that sends nothing after it.
	connectTimeout = 300 * time.Millisecond
	// writeTimeout limits the time for which a line may wait for a peer that reads nothing.
	writeTimeout = 500 * time.Millisecond
	// queueLength is the number of Asks that may wait to be written. Few are open at any time, as a silent pool host is
	// given up.
	queueLength = 64
)

// errRefused means that the host does not serve as a pool host.
var errRefused = errors.New("host does not accept a quota stream")

// stream is the connection to one pool host.
type stream struct {
	keeper *Keeper
	peer   delegator.Peer
	cancel context.CancelFunc
	asks   chan token.Ask
}

// open starts the streams that are due. The caller holds the lock.
func (k *Keeper) open(ctx context.Context) {
	for _, peer := range k.dials {
		streamContext, cancel := context.WithCancel(ctx)
		s := &stream{keeper: k, peer: peer, cancel: cancel, asks: make(chan token.Ask, queueLength)}
		k.streams[peer.ID] = s
		k.readers.Add(1)
		go func() {
			defer k.readers.Done()
			defer cancel()
			s.ended(s.runSafely(streamContext))
		}()
	}
	k.dials = nil
}

// close closes the stream without waiting for its end.
func (s *stream) close() {
	s.cancel()
}

// send queues an Ask, and closes the stream if too many are waiting.
func (s *stream) send(ask token.Ask) {
	select {
	case s.asks <- ask:
	default:
		s.cancel()
	}
}

// errPanic means that a reply could not be processed.
var errPanic = errors.New("panic in a quota stream")

// runSafely runs the stream; a reply that this release cannot process ends only its stream.
func (s *stream) runSafely(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Wrap(errPanic, fmt.Sprint(p))
			s.keeper.logger.Error("quota stream failed", zap.String("host", s.peer.ID), zap.String("panic", fmt.Sprint(p)))
		}
	}()
	return s.run(ctx)
}

// run connects and passes on the replies until the stream ends.
func (s *stream) run(ctx context.Context) error {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.peer.Address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// net/http's client would send the head only together with the first line, so the head is written here.
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Type: application/jsonl\r\nTransfer-Encoding: chunked\r\n\r\n",
		Path, s.peer.Address, headerHost, s.keeper.self.ID); err != nil {
		return errors.Wrap(err, "write")
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, lineBuffer), nil)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(errRefused, "status %d", response.StatusCode)
	}
	var writer sync.WaitGroup
	writer.Go(func() { s.write(ctx, conn) })
	err = s.read(bufio.NewReaderSize(response.Body, lineBuffer))
	s.cancel()
	writer.Wait()
	return err
}

// write writes Asks as chunks until the context ends or a write fails.
func (s *stream) write(ctx context.Context, conn net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case ask := <-s.asks:
			line := encodeLine(ask)
			chunk := append(strconv.AppendInt(make([]byte, 0, len(line)+10), int64(len(line)), 16), "\r\n"...)
			chunk = append(append(chunk, line...), "\r\n"...)
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(chunk); err != nil {
				s.cancel()
				return
			}
			s.keeper.count("quota_ask_sent")
		}
	}
}

// read passes the replies to the delegator until the stream ends.
func (s *stream) read(r *bufio.Reader) error {
	for {
		reply, err := readLine[token.Reply](r)
		if err != nil {
			return err
		}
		if !s.receive(reply) {
			return nil
		}
	}
}

// receive passes a reply to the delegator and reports whether the stream is still in use.
func (s *stream) receive(reply token.Reply) bool {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.streams[s.peer.ID] != s {
		return false
	}
	now := k.clock()
	k.delegator.Receive(now, s.peer.ID, reply)
	k.tick(now)
	return true
}

// ended reports the end of the stream to the delegator, unless the delegator closed it.
func (s *stream) ended(err error) {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.streams[s.peer.ID] != s {
		return
	}
	delete(k.streams, s.peer.ID)
	k.count("quota_stream_ended")
	k.logger.Debug("quota stream ended", zap.String("host", s.peer.ID), zap.String("address", s.peer.Address), zap.NamedError("error", err))
	now := k.clock()
	k.delegator.Closed(now, s.peer.ID)
	k.tick(now)
}
