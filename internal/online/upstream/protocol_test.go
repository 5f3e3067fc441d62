package upstream_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/online/upstream"
)

func TestWithStreamingKeepsOtherFields(t *testing.T) {
	body, err := upstream.WithStreaming([]byte(`{"model":"m","temperature":0.5,"stream":false,"tools":[{"a":1}]}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.JSONEquals, map[string]any{
		"model": "m", "temperature": 0.5, "stream": true, "tools": []any{map[string]any{"a": 1}},
	})
}

func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"verse"}]}`))
	f.Add([]byte(`{"prompt":"verse","stream":true}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		completion, err := upstream.ParseCompletion(body)
		if err != nil {
			return
		}
		_ = completion.Text()
		streaming, err := upstream.WithStreaming(body)
		if err != nil {
			return
		}
		if !json.Valid(streaming) {
			t.Fatal("the body is no longer valid JSON")
		}
		again, err := upstream.ParseCompletion(streaming)
		if err != nil || !again.Stream || again.Model != completion.Model {
			t.Fatalf("streaming is off or the model has changed: %v", err)
		}
	})
}
