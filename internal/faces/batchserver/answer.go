package batchserver

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// retryAfterBase is the shortest delay after which a rejected caller should retry,
	// and retryAfterJitter the range of a random addition.
	retryAfterBase   = 300 * time.Millisecond
	retryAfterJitter = 400 * time.Millisecond
	// unreservedAnswerBytes is the size of answers that are held without a reservation of memory.
	unreservedAnswerBytes = 16 << 10
	// answerMemoryDivisor is the ratio of the memory for submissions to that for answers. They don't share one budget: the
	// jobs of this VM hold theirs for as long as they run, and their results must be readable meanwhile.
	answerMemoryDivisor = 2
)

// errNoMemory means that the memory budget has no space for an answer that its caller may read slowly.
var errNoMemory = errors.New("no memory for the answer")

// reject answers and logs a call that failed, and returns the status.
func (s *Server) reject(w http.ResponseWriter, id string, status int, err error) int {
	s.counter.Count(`job_refusals_total{status="` + http.StatusText(status) + `"}`)
	s.logger.LogAttrs(context.Background(), slog.LevelWarn, "job call rejected", rejectionAttributes(id, status, err)...)
	retryAfter := time.Duration(0)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		retryAfter = retryAfterBase + rand.N(retryAfterJitter)
	}
	s.codec.EncodeJobReplyHeader(w.Header(), id, retryAfter)
	w.WriteHeader(status)
	return status
}

// answerReserved answers a successful call on a submitted job. What the caller has not read yet of a long answer is reserved.
// An answer leaves as much memory as it takes, so that callers that read long ones slowly don't use up that of short ones.
func (s *Server) answerReserved(w http.ResponseWriter, job string, body []byte) int {
	reservation := s.answers.NewReservation()
	defer reservation.Release()
	if size := int64(len(body)); size > unreservedAnswerBytes && !reservation.GrowSparing(size, size) {
		return s.reject(w, job, http.StatusServiceUnavailable, errNoMemory)
	}
	return s.answer(w, job, http.StatusOK, body)
}

// answer answers a successful call and returns the status.
func (s *Server) answer(w http.ResponseWriter, id string, status int, body []byte) int {
	s.codec.EncodeJobReplyHeader(w.Header(), id, 0)
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.logger.Info("writing the answer failed", "job", id, "error", err)
	}
	return status
}
