// Package upstream defines the messages that entry VMs exchange with model engines and
// plain services.
package upstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Paths of an upstream's HTTP interface. Each event of an engine's stream except the
// last carries one token. A stream that is canceled while it runs ends without the end
// marker; the engine keeps its state, and the stream can be resumed from the index of
// the first token that was not received.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathLoad        = "/engine/load"
	PathCacheEvents = "/engine/cacheEvents"
	PathOrders      = "/engine/orders"
	PathResume      = "/engine/resume/"
	PathCancel      = "/engine/cancel/"
	PathKV          = "/engine/kv/"
)

// Headers of requests and answers.
const (
	// HeaderRequestID identifies one attempt. Upstreams repeat it in the header of each
	// answer, so that a rejection is not taken for that of another request, and engines in
	// each event.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun marks a rejection of a request that was not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving marks an answer of an upstream that is draining.
	HeaderLeaving = "X-Upstream-Leaving"
	// HeaderDeadline carries the request's deadline in RFC 3339 format.
	HeaderDeadline = "X-Deadline"
)

// EndOfStream is the data of the event that ends every complete stream.
const EndOfStream = "[DONE]"

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion has the fields of a completion request that routing needs. Engines
// receive the caller's original body, with all its fields.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Text returns the complete prompt as one string.
func (c Completion) Text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var text strings.Builder
	for _, message := range c.Messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// Chunk is one event of a completion stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the text of one event or answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the text that an event appends.
type Delta struct {
	Content string `json:"content"`
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Completed is the complete answer to a completion request.
type Completed struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// LoadReport is an engine's report of its own load at time At. It is received with
// some delay. Leaving is set if the engine is draining, and Fencing is the highest fencing
// number of the orders that it has accepted.
type LoadReport struct {
	Running   int           `json:"running"`
	Waiting   int           `json:"waiting"`
	Sequences int           `json:"sequences"`
	Leaving   bool          `json:"leaving"`
	At        time.Time     `json:"at"`
	Loaded    []LoadedModel `json:"loaded"`
	Fencing   uint64        `json:"fencing"`
	Role      Role          `json:"role"`
}

// Role is the kind of work that an engine accepts.
type Role string

// Roles of an engine.
const (
	RoleServing Role = "serving" // accepts requests
	RoleIdle    Role = "idle"    // rejects requests as not run
)

// LoadedModel is a model that is loaded into an engine's memory.
type LoadedModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Order is the desired state of an engine. An engine that checks fencing numbers rejects an
// order whose number is lower than that of an order that it has accepted.
type Order struct {
	Fencing uint64        `json:"fencing"`
	Role    Role          `json:"role"`
	Models  []LoadedModel `json:"models"`
}

// CacheEvent says that a block was added to an engine's prefix cache, or evicted from
// it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents is the answer to a request for the events after a sequence number.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// KV is the exported state of one stream, of which Generated tokens have been generated.
type KV struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
	Generated int    `json:"generated"`
}

// ParseCompletion parses the fields of a completion request that routing needs.
func ParseCompletion(body []byte) (Completion, error) {
	var completion Completion
	err := json.Unmarshal(body, &completion)
	return completion, err
}

// WithStreaming returns the body of a completion request with streaming enabled and
// all other fields unchanged.
func WithStreaming(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("completion request: %w", err)
	}
	if fields == nil {
		return nil, errors.New("completion request: must be an object, not null")
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
