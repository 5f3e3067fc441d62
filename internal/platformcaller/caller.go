// Package platformcaller sends single requests to the platform and tells the
// ways in which they fail apart. It never tries anything twice; storekeeper
// does.
package platformcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/fescuespindle/fescuespindle/internal/platform"
)

// Errors of this layer.
var (
	// ErrNotSent means that the request surely had no effect.
	ErrNotSent = errors.New("platform request not carried out")
	// ErrLimited means that the platform refused the request for its rate.
	ErrLimited = errors.New("platform rate limit")
	// ErrUnknown means that the request may have taken effect.
	ErrUnknown = errors.New("platform answer lost")
	// ErrUnchanged means that the caller has the newest copy already.
	ErrUnchanged = errors.New("unchanged")
	// ErrNotFound means that the object doesn't exist.
	ErrNotFound = errors.New("platform object not found")
)

const maxAnswer = 256 << 20

// Caller is a client of one platform.
type Caller struct {
	base   string
	client *http.Client
}

// New returns a client of the platform at a URL.
func New(base string, client *http.Client) *Caller {
	return &Caller{base: base, client: client}
}

// Transact sends one transaction.
func (c *Caller) Transact(ctx context.Context, tx platform.Transaction) (platform.TransactReply, error) {
	var reply platform.TransactReply
	err := c.post(ctx, platform.PathTransact, tx, &reply)
	return reply, err
}

// Read reads rows by key.
func (c *Caller) Read(ctx context.Context, keys []string) ([]platform.Row, error) {
	var rows platform.Rows
	err := c.post(ctx, platform.PathRead, platform.ReadRequest{Keys: keys}, &rows)
	return rows.Rows, err
}

// Scan reads rows by prefix.
func (c *Caller) Scan(ctx context.Context, request platform.ScanRequest) ([]platform.Row, error) {
	var rows platform.Rows
	err := c.post(ctx, platform.PathScan, request, &rows)
	return rows.Rows, err
}

// VMs reads the platform's list of VMs, if it isn't the one with an entity tag
// that the caller has already. It returns the list's tag.
func (c *Caller) VMs(ctx context.Context, tag string) ([]platform.VM, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+platform.PathVMs, nil)
	if err != nil {
		return nil, "", fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, "", classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil, tag, ErrUnchanged
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err == nil {
		err = statusError(response.StatusCode, text)
	}
	if err != nil {
		return nil, "", fmt.Errorf("read VM list: %w", err)
	}
	var list platform.VMList
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, "", fmt.Errorf("read VM list: %w", err)
	}
	return list.VMs, response.Header.Get("ETag"), nil
}

// PutObject writes an object.
func (c *Caller) PutObject(ctx context.Context, key string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, objectPath(key), body)
	return err
}

// GetObject reads an object.
func (c *Caller) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, objectPath(key), nil)
}

// DeleteObject deletes an object, if it exists.
func (c *Caller) DeleteObject(ctx context.Context, key string) error {
	_, err := c.do(ctx, http.MethodDelete, objectPath(key), nil)
	return err
}

func objectPath(key string) string {
	return platform.PathObjects + (&url.URL{Path: key}).EscapedPath()
}

func (c *Caller) post(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: encode: %w", ErrNotSent, err)
	}
	text, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("%w: decode: %w", ErrUnknown, err)
	}
	return nil
}

func (c *Caller) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return text, statusError(response.StatusCode, text)
}

func statusError(status int, text []byte) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests:
		return ErrLimited
	case status == http.StatusServiceUnavailable, status == http.StatusBadRequest:
		return fmt.Errorf("%w: status %d: %s", ErrNotSent, status, bytes.TrimSpace(text))
	default:
		return fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
}

// classify tells failures to connect, which surely had no effect, from all
// others.
func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknown, err)
}

// Weights asks the weight store for a model.
func (c *Caller) Weights(ctx context.Context, model string) error {
	_, err := c.do(ctx, http.MethodPost, platform.PathWeights+url.PathEscape(model), nil)
	return err
}
