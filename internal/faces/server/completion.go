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

// prefixBytes is the length of the prompt's beginning that decides where it is
// likely to be cached.
const prefixBytes = 512

// modelList answers GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) listModels(r *restful.Request, w *restful.Response) {
	caller := callerOf(r)
	list := modelList{Object: "list", Data: []modelLine{}}
	for target := range s.publisher.View().Targets {
		if target.Deployment().Kind == deployer.KindEngine && caller.May(target.Name()) {
			line := modelLine{ID: target.Name(), Object: "model", OwnedBy: target.Deployment().Name}
			list.Data = append(list.Data, line)
		}
	}
	slices.SortFunc(list.Data, func(a, b modelLine) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w.ResponseWriter, list)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller is gone if this fails
}

// readBody reads a bounded body.
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

// target returns the model or service that a caller names, if it may use it.
func (s *Server) target(caller deployer.Caller, name string, kind deployer.Kind) (*publisher.Target, *failurewriter.Failure) {
	target, found := s.publisher.View().Target(name)
	if !found || !caller.May(name) || target.Deployment().Kind != kind {
		return nil, failurewriter.New(http.StatusNotFound, "unknownTarget", "no model or service "+name+" for this caller")
	}
	return target, nil
}

// complete answers a completion request.
func (s *Server) complete(r *restful.Request, w *restful.Response) {
	body, failed := readBody(r)
	if failed != nil {
		failed.Write(w.ResponseWriter)
		return
	}
	completion, err := upstream.ParseCompletion(body)
	if err != nil {
		failurewriter.New(http.StatusBadRequest, "badBody", err.Error()).Write(w.ResponseWriter)
		return
	}
	caller := callerOf(r)
	target, failed := s.target(caller, completion.Model, deployer.KindEngine)
	if failed != nil {
		failed.Write(w.ResponseWriter)
		return
	}
	streaming, err := upstream.WithStreaming(body)
	if err != nil {
		failurewriter.New(http.StatusBadRequest, "badBody", err.Error()).Write(w.ResponseWriter)
		return
	}
	begun := time.Now()
	response, refusal := s.dispatcher.Open(r.Request.Context(), target.Lane(), dispatcher.Request{
		ID: idOf(r), Caller: caller.Name, Weight: caller.Weight, Path: r.Request.URL.Path, Body: streaming,
		Deadline: deadlineOf(r), Prefix: prefixOf(completion), Fingerprint: fingerprintOf(caller, streaming),
	})
	if refusal != nil {
		failurewriter.FromRejection(refusal).Write(w.ResponseWriter)
		return
	}
	defer response.Close()
	s.counters.Observe("first_token_seconds", time.Since(begun))
	if completion.Stream {
		s.stream(w, response)
		return
	}
	s.collect(w, response)
}

// prefixOf hashes the beginning of the prompt. A prompt that is no longer than
// that has no prefix worth looking for: working through it takes less time than
// a busier engine costs.
func prefixOf(c upstream.Completion) uint64 {
	text := c.Text()
	if len(text) <= prefixBytes {
		return 0
	}
	return xxhash.Sum64String(c.Model + "\x00" + text[:prefixBytes])
}

func fingerprintOf(caller deployer.Caller, body []byte) quarantiner.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller.Name + "\x00")
	_, _ = digest.Write(body)
	return quarantiner.Fingerprint(digest.Sum64())
}

// stream hands events on as they come. A stream that fails ends with an event
// that says so and without the end mark, so that no caller takes it for whole.
func (s *Server) stream(w *restful.Response, response *dispatcher.Response) {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w.ResponseWriter)
	line := make([]byte, 0, 512)
	for {
		data, err := response.Next()
		switch {
		case errors.Is(err, io.EOF):
			_ = writeEvent(w, control, line, []byte(upstream.EndOfStream))
			return
		case err != nil:
			s.counters.Count("streams_cut_total")
			_ = writeEvent(w, control, line, failureEvent(err))
			return
		}
		s.counters.Count("tokens_relayed_total")
		if writeEvent(w, control, line, data) != nil {
			s.counters.Count("callers_gone_total")
			return
		}
	}
}

func failureEvent(err error) []byte {
	f := failurewriter.New(http.StatusBadGateway, "cut", "the answer is not whole: "+err.Error(),
		failurewriter.WithRan(relayer.RanFailed))
	return f.JSON()
}

// writeEvent writes one event, within the time that a slow reader may take.
func writeEvent(w io.Writer, control *http.ResponseController, line, data []byte) error {
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout)) // not every transport has one
	line = append(line[:0], "data: "...)
	line = append(line, data...)
	line = append(line, '\n', '\n')
	if _, err := w.Write(line); err != nil {
		return err
	}
	return control.Flush()
}

// collect answers a caller that did not ask for a stream.
func (s *Server) collect(w *restful.Response, response *dispatcher.Response) {
	var answer upstream.Completed
	var text strings.Builder
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
			f := failurewriter.New(http.StatusBadGateway, "cut", err.Error(), failurewriter.WithRan(relayer.RanFailed))
			f.Write(w.ResponseWriter)
			return
		}
		s.counters.Count("tokens_relayed_total")
		addChunk(&answer, &text, chunk)
	}
	if len(answer.Choices) > 0 {
		answer.Choices[0].Message = &upstream.Message{Role: "assistant", Content: text.String()}
	}
	writeJSON(w.ResponseWriter, answer)
}

func addChunk(answer *upstream.Completed, text *strings.Builder, chunk upstream.Chunk) {
	answer.ID, answer.Model, answer.Object = chunk.ID, chunk.Model, "chat.completion"
	if chunk.Usage != nil {
		answer.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			text.WriteString(choice.Delta.Content)
		}
		answer.Choices = []upstream.Choice{{FinishReason: choice.FinishReason}}
	}
}
