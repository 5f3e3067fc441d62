package storerelayer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// maxArrivalAge is how recently the store must have sent this VM something for a timeout of another
// call not to mean that the store can't be reached.
const maxArrivalAge = time.Second

// arrivingBody is the body of an answer to a direct call. It records when bytes of it arrive.
type arrivingBody struct {
	io.ReadCloser
	relayer *Relayer
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.relayer.recordArrival()
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// observeArrival makes the relayer record when the rest of an answer to a direct call arrives.
func (r *Relayer) observeArrival(response *http.Response) *http.Response {
	response.Body = &arrivingBody{ReadCloser: response.Body, relayer: r}
	return response
}

// recordArrival records that something of an answer to a direct call has arrived.
func (r *Relayer) recordArrival() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivedAt = time.Now()
}

// isSlow returns whether a direct call that began at some time has failed because its answer is
// late, while the store has answered other calls of this VM. The link is slow then: relayed
// calls would go over the same link and be no faster. The caller must hold mu.
func (r *Relayer) isSlow(err error, began time.Time) bool {
	var timeout net.Error
	isTimeout := errors.As(err, &timeout) && timeout.Timeout()
	return isTimeout && r.arrivedAt.After(began) && time.Since(r.arrivedAt) < maxArrivalAge
}
