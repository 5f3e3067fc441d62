package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/emicklei/go-restful/v3"

	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/faces/failurewriter"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// promptPrefixBytes is the length of the prompt prefix by which requests are routed to
// upstreams that are likely to have it in their prefix cache.
const promptPrefixBytes = 512

// modelList is the body of the response to GET /v1/models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// modelObject is the JSON representation of a model.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels handles GET /v1/models: it lists the models that the caller may use, by name.
func (s *Server) listModels(r *restful.Request, w *restful.Response) {
	caller := callerOf(r)
	list := modelList{Object: "list", Data: []modelObject{}}
	for target := range s.publisher.View().Targets {
		if target.Deployment().Kind == deployer.KindEngine && caller.May(target.Name()) {
			model := modelObject{ID: target.Name(), Object: "model", OwnedBy: target.Deployment().Name}
			list.Data = append(list.Data, model)
		}
	}
	slices.SortFunc(list.Data, func(a, b modelObject) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w.ResponseWriter, list)
}

// writeJSON writes a value as a JSON response with status 200.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has disconnected
}

// readBody reads the request body, which bodyLimitFilter has limited.
func readBody(r *restful.Request) ([]byte, *failurewriter.Failure) {
	body, err := io.ReadAll(r.Request.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, failurewriter.New(http.StatusRequestEntityTooLarge, "tooLarge", "the body is too large")
	case err != nil:
		return nil, failurewriter.New(http.StatusBadRequest, "badBody", "the body could not be read: "+err.Error())
	}
	return body, nil
}

// findTarget returns the model or service with a name. For one that doesn't exist, has
// another kind or isn't allowed to the caller, it returns the same Failure.
func (s *Server) findTarget(
	caller deployer.Caller, name string, kind deployer.Kind,
) (*publisher.Target, *failurewriter.Failure) {
	target, found := s.publisher.View().Target(name)
	if !found || !caller.May(name) || target.Deployment().Kind != kind {
		return nil, failurewriter.New(http.StatusNotFound, "unknownTarget", "no model or service "+name+" for this caller")
	}
	return target, nil
}

// complete handles POST /v1/chat/completions and /v1/completions. Upstreams are always
// asked for a stream; writeCompletion assembles it for callers that didn't ask for one.
func (s *Server) complete(r *restful.Request, w *restful.Response) {
	body, failure := readBody(r)
	if failure != nil {
		failure.Write(w.ResponseWriter)
		return
	}
	completion, err := upstream.ParseCompletion(body)
	if err != nil {
		failurewriter.New(http.StatusBadRequest, "badBody", err.Error()).Write(w.ResponseWriter)
		return
	}
	caller := callerOf(r)
	target, failure := s.findTarget(caller, completion.Model, deployer.KindEngine)
	if failure != nil {
		failure.Write(w.ResponseWriter)
		return
	}
	streaming, err := upstream.WithStreaming(body)
	if err != nil {
		failurewriter.New(http.StatusBadRequest, "badBody", err.Error()).Write(w.ResponseWriter)
		return
	}
	startTime := time.Now()
	response, rejection := s.dispatcher.Open(r.Request.Context(), target.Lane(), dispatcher.Request{
		ID: requestIDOf(r), Caller: caller.Name, Weight: caller.Weight, Path: r.Request.URL.Path, Body: streaming,
		Deadline: deadlineOf(r), Prefix: hashPromptPrefix(completion), Fingerprint: newFingerprint(caller, streaming),
	})
	if rejection != nil {
		failurewriter.FromRejection(rejection).Write(w.ResponseWriter)
		return
	}
	defer response.Close()
	s.counters.Observe("first_token_seconds", time.Since(startTime))
	if completion.Stream {
		s.writeStream(w, response)
		return
	}
	s.writeCompletion(w, response)
}

// hashPromptPrefix hashes the model name and the first promptPrefixBytes of the prompt.
// It returns 0, for no prefix, if the prompt isn't longer than that: processing such a
// prompt takes less time than the wait on a busier engine that has it cached.
func hashPromptPrefix(c upstream.Completion) uint64 {
	text := c.Text()
	if len(text) <= promptPrefixBytes {
		return 0
	}
	return xxhash.Sum64String(c.Model + "\x00" + text[:promptPrefixBytes])
}

// newFingerprint hashes the caller's name and the request body.
func newFingerprint(caller deployer.Caller, body []byte) quarantiner.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller.Name + "\x00")
	_, _ = digest.Write(body)
	return quarantiner.Fingerprint(digest.Sum64())
}

// writeStream relays events as they arrive. A stream that fails ends with an error event
// and without the end marker, so that callers don't take it for complete.
func (s *Server) writeStream(w *restful.Response, response *dispatcher.Response) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w.ResponseWriter)
	buffer := make([]byte, 0, 512)
	for {
		data, err := response.Next()
		switch {
		case errors.Is(err, io.EOF):
			_ = writeEvent(w, controller, buffer, []byte(upstream.EndOfStream))
			return
		case err != nil:
			s.counters.Count("streams_cut_total")
			_ = writeEvent(w, controller, buffer, truncationEvent(err))
			return
		}
		s.counters.Count("tokens_relayed_total")
		if writeEvent(w, controller, buffer, data) != nil {
			s.counters.Count("callers_gone_total")
			return
		}
	}
}

// truncationEvent returns the data of the event that ends a failed stream.
func truncationEvent(err error) []byte {
	failure := failurewriter.New(http.StatusBadGateway, "cut", "the answer is not whole: "+err.Error(),
		failurewriter.WithRan(relayer.RanFailed))
	return failure.JSON()
}

// writeEvent writes and flushes one server-sent event within writeTimeout. It builds the
// event in the space of buffer.
func writeEvent(w io.Writer, controller *http.ResponseController, buffer, data []byte) error {
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every ResponseWriter supports deadlines
	buffer = append(buffer[:0], "data: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, '\n', '\n')
	if _, err := w.Write(buffer); err != nil {
		return err
	}
	return controller.Flush()
}

// writeCompletion writes the complete response for a caller that didn't ask for a stream.
func (s *Server) writeCompletion(w *restful.Response, response *dispatcher.Response) {
	var completion upstream.Completed
	var content strings.Builder
	for {
		data, err := response.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		var chunk upstream.Chunk
		if err == nil {
			err = json.Unmarshal(data, &chunk)
		}
		if err != nil {
			s.counters.Count("streams_cut_total")
			failure := failurewriter.New(http.StatusBadGateway, "cut", err.Error(), failurewriter.WithRan(relayer.RanFailed))
			failure.Write(w.ResponseWriter)
			return
		}
		s.counters.Count("tokens_relayed_total")
		appendChunk(&completion, &content, chunk)
	}
	if len(completion.Choices) > 0 {
		completion.Choices[0].Message = &upstream.Message{Role: "assistant", Content: content.String()}
	}
	writeJSON(w.ResponseWriter, completion)
}

// appendChunk adds the data of one streamed chunk to the completion and its text to content.
func appendChunk(completion *upstream.Completed, content *strings.Builder, chunk upstream.Chunk) {
	completion.ID, completion.Model, completion.Object = chunk.ID, chunk.Model, "chat.completion"
	if chunk.Usage != nil {
		completion.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			content.WriteString(choice.Delta.Content)
		}
		completion.Choices = []upstream.Choice{{FinishReason: choice.FinishReason}}
	}
}
