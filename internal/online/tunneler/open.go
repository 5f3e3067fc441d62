package tunneler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/headvalidator"
)

// Errors of Open: what the peer VM says of the upstream.
var (
	// ErrRefused means that the upstream refuses connections, as one whose process has ended
	// does. The peer VM reaches other upstreams.
	ErrRefused = errors.New("upstream refuses connections of the peer VM")
	// ErrUnanswered means that the upstream doesn't answer the peer VM, which reaches others.
	ErrUnanswered = errors.New("upstream doesn't answer the peer VM")
	// ErrNoLink means that the peer VM is cut off from upstreams itself.
	ErrNoLink = errors.New("peer VM has no link to the upstream")
	// ErrBusy means that the peer VM carries as many connections as it may, or is shutting down.
	ErrBusy = errors.New("peer VM carries no more connections")
	// ErrUnlisted means that the peer VM doesn't know the upstream.
	ErrUnlisted = errors.New("peer VM doesn't list the upstream")
	// ErrIncapable means that the peer VM carries no connections at all, as one of an earlier
	// release or of another fleet.
	ErrIncapable = errors.New("peer VM carries no connections")
)

// replies are the values of headerReply, by error.
var replies = map[string]error{
	"refused": ErrRefused, "unanswered": ErrUnanswered, "noLink": ErrNoLink, "busy": ErrBusy, "unlisted": ErrUnlisted,
}

// replyFor returns the value of headerReply for an error.
func replyFor(err error) string {
	for reply, known := range replies {
		if errors.Is(err, known) {
			return reply
		}
	}
	return ""
}

const (
	// Path is where a Carrier serves.
	Path = "/-/tunnel"
	// protocol is the value of the Upgrade header.
	protocol       = "fescuespindle-tunnel"
	queryUpstream  = "upstream"
	headerReply    = "Fescuespindle-Tunnel"
	readBufferSize = maxChunkBytes + headerBytes
	// maxReplyBytes bounds the reply of a peer VM, with its head, that is read before the connection
	// carries anything.
	maxReplyBytes = 16 << 10
	// reuseTime is how long a connection through a peer VM may carry further requests. A peer VM
	// that shuts down opens no new ones, so from then on it gets no new request.
	reuseTime = 2 * time.Second
)

// Open opens a connection to an upstream, given by its ID, through the peer VM at an address. The
// header is sent to the peer VM and may be nil. The context bounds the opening only.
func Open(ctx context.Context, dial relayer.Dial, peer, upstream string, header http.Header) (*Conn, error) {
	conn, err := dial(ctx, "tcp", peer)
	if err != nil {
		return nil, fmt.Errorf("dial peer VM: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	tunnel, err := handshake(conn, peer, upstream, header)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tunnel, nil
}

// handshake asks the peer VM to connect to the upstream.
func handshake(conn net.Conn, peer, upstream string, header http.Header) (*Conn, error) {
	request := &http.Request{
		Method: http.MethodGet, Host: peer, Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}},
		URL: &url.URL{Path: Path, RawQuery: url.Values{queryUpstream: {upstream}}.Encode()},
	}
	maps.Copy(request.Header, header)
	if err := request.Write(conn); err != nil {
		return nil, fmt.Errorf("ask peer VM: %w", err)
	}
	limited := &io.LimitedReader{R: conn, N: maxReplyBytes}
	reader := bufio.NewReaderSize(limited, readBufferSize)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, fmt.Errorf("ask peer VM: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := headvalidator.Validate(response); err != nil {
		return nil, fmt.Errorf("ask peer VM: %w", err)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		limited.N = math.MaxInt64
		return &Conn{Conn: conn, reader: reader, reuseUntil: time.Now().Add(reuseTime)}, nil
	}
	if reason, known := replies[response.Header.Get(headerReply)]; known {
		return nil, reason
	}
	return nil, fmt.Errorf("%w: status %d", ErrIncapable, response.StatusCode)
}
