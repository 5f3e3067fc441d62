package engineemulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

// Paths of the stand-in's own interface for tests and demos.
const (
	PathAdminSlow    = "/admin/slow"
	PathAdminLeaving = "/admin/leaving"
	PathAdminCounts  = "/admin/counts"
)

const maxBody = 8 << 20

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathChat, e.serveCompletion)
	mux.HandleFunc("POST "+upstream.PathCompletions, e.serveCompletion)
	mux.HandleFunc("POST "+upstream.PathResume+"{id}", e.serveResume)
	mux.HandleFunc("POST "+upstream.PathCancel+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+upstream.PathKV+"{id}", e.serveExport)
	mux.HandleFunc("PUT "+upstream.PathKV+"{id}", e.serveImport)
	mux.HandleFunc("GET "+upstream.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+upstream.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+upstream.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+PathAdminSlow, e.serveSlow)
	mux.HandleFunc("POST "+PathAdminLeaving, e.serveLeaving)
	mux.HandleFunc("GET "+PathAdminCounts, e.serveCounts)
	return mux
}

// ServeHTTP serves the engine's interface and the stand-in's own. While the engine
// is down after a crash, it aborts all connections to the former.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down && !strings.HasPrefix(r.URL.Path, "/admin/") {
		panic(http.ErrAbortHandler) // aborts the connection without a response
	}
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	completion, err := upstream.ParseCompletion(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if reason := e.rejectReason(completion.Model); reason != "" {
		reject(w, reason)
		return
	}
	s := e.newRequestSequence(r.Header.Get(upstream.HeaderRequestID), completion)
	ctx := e.enqueue(s)
	e.stream(ctx, w, r, s, 0)
}

// rejectReason returns why a request for a model can't run here, or "" if it can.
func (e *Engine) rejectReason(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		e.counts.Rejected++
		return "leaving"
	case e.role != upstream.RoleServing:
		return "not serving"
	case !e.hasModel(model):
		return "model not loaded"
	default:
		return ""
	}
}

func (e *Engine) hasModel(name string) bool {
	for _, model := range e.loaded {
		if model.Name == name {
			return true
		}
	}
	return false
}

func reject(w http.ResponseWriter, reason string) {
	w.Header().Set(upstream.HeaderNotRun, "true")
	if reason == "leaving" {
		w.Header().Set(upstream.HeaderLeaving, "true")
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// newRequestSequence creates the sequence of a completion request, and looks up its
// prompt in the prefix cache.
func (e *Engine) newRequestSequence(id string, completion upstream.Completion) *sequence {
	maxTokens := completion.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultTokens
	}
	text := completion.Text()
	s := newSequence(id, completion.Model, text, maxTokens)
	prompt := tokenize(text)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.promptLen = len(prompt)
	s.cached = e.cache.lookup(prompt)
	s.prefillLeft = s.promptLen - s.cached
	e.counts.Prompt += s.promptLen
	e.counts.Cached += s.cached
	return s
}

// stream writes the sequence's tokens, from an index on, as server-sent events. It
// returns when the sequence is complete or canceled or the client has gone, and
// aborts the connection when the engine crashes.
func (e *Engine) stream(crashed context.Context, w http.ResponseWriter, r *http.Request, s *sequence, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	sent := from
	for {
		select {
		case <-s.wake:
		case <-r.Context().Done():
			e.suspend(s)
			return
		case <-crashed.Done():
			panic(http.ErrAbortHandler)
		}
		generated, done, halted := e.progress(s)
		if generated > 0 && strings.Contains(s.prompt, PoisonWord) {
			e.mu.Lock()
			e.crash()
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		for ; sent < generated; sent++ {
			writeEvent(w, tokenChunk(s, sent))
		}
		if done {
			writeEvent(w, finalChunk(s))
			_, _ = fmt.Fprintf(w, "data: %s\n\n", upstream.EndOfStream)
			return
		}
		flusher.Flush()
		if halted {
			return
		}
	}
}

func tokenChunk(s *sequence, index int) upstream.Chunk {
	return upstream.Chunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.model,
		Choices: []upstream.Choice{{Delta: &upstream.Delta{Content: Token(s.prompt, index)}}},
	}
}

func finalChunk(s *sequence) upstream.Chunk {
	reason := "length"
	return upstream.Chunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.model,
		Choices: []upstream.Choice{{Delta: &upstream.Delta{}, FinishReason: &reason}},
		Usage: &upstream.Usage{
			PromptTokens: s.promptLen, CachedTokens: s.cached, CompletionTokens: s.generated,
			TotalTokens: s.promptLen + s.generated,
		},
	}
}

func writeEvent(w io.Writer, chunk upstream.Chunk) {
	text, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	s := e.takePaused(r.PathValue("id"))
	if s == nil {
		http.NotFound(w, r)
		return
	}
	s.id = r.Header.Get(upstream.HeaderRequestID)
	ctx := e.enqueue(s)
	s.signal()
	e.stream(ctx, w, r, s, from)
}

// serveCancel pauses a running stream, whose state is kept, or discards the state
// of a paused one.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if e.halt(r.PathValue("id")) {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if e.takePaused(r.PathValue("id")) == nil {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	s := e.takePaused(r.PathValue("id"))
	if s == nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, upstream.KV{ID: s.id, Model: s.model, Prompt: s.prompt, MaxTokens: s.maxTokens, Generated: s.generated})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv upstream.KV
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := newSequence(r.PathValue("id"), kv.Model, kv.Prompt, kv.MaxTokens)
	s.generated = kv.Generated
	e.mu.Lock()
	e.paused = append(e.paused, s)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := upstream.LoadReport{At: time.Now()}
	for _, old := range e.history {
		if time.Since(old.At) >= e.reportLag {
			report = old
		}
	}
	report.Sequences = e.sequences
	report.Leaving = e.draining
	report.Loaded = e.loaded
	report.Fencing = e.fencing
	report.Role = e.role
	e.mu.Unlock()
	writeJSON(w, report)
}

// gapEvery is the interval of sequence numbers at which serveCacheEvents omits an
// event, so that readers must cope with gaps.
const gapEvery = 50

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	var out upstream.CacheEvents
	for _, event := range e.cache.events {
		if event.Sequence > after && event.Sequence%gapEvery != 0 {
			out.Events = append(out.Events, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, out)
}

func (e *Engine) serveSlow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		http.Error(w, "factor must be a positive number", http.StatusBadRequest)
		return
	}
	e.SetSlow(factor)
}

func (e *Engine) serveLeaving(_ http.ResponseWriter, r *http.Request) {
	e.SetDraining(r.URL.Query().Get("leaving") == "true")
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Counts())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
