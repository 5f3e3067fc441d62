package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// callTimeout is how long a caller waits for an answer.
const callTimeout = 4 * time.Second

// Item is an item of a batch submission.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// Submission is a batch submission.
type Submission struct {
	ID    string
	Path  string
	Items []Item
}

// Result is a listed result.
type Result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// Page is an answer to a read of results.
type Page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// call sends a request on a new connection and returns the status, 0 for none, and the body.
func (vm *VM) call(method, path, id string, body []byte, header map[string]string) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+vm.address(vm.site.ports.caller)+path, bytes.NewReader(body))
	if err != nil {
		Fatal("request: %v", err)
	}
	request.Host = Host
	if id != "" {
		request.Header.Set(names.ID, id)
	}
	request.Header.Set(names.Timeout, fmt.Sprint(callTimeout.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// Submit sends a batch submission and returns the status of the answer, 0 for none.
func (vm *VM) Submit(s Submission) int {
	text, err := json.Marshal(map[string]any{"requests": s.Items})
	if err != nil {
		Fatal("submission: %v", err)
	}
	began := time.Now()
	status, _ := vm.call(http.MethodPost, s.Path, s.ID, text, map[string]string{"Content-Type": "application/json"})
	vm.site.Record.Add("caller: batch submission %s of %d items, %d bytes, sent to %s: answer %d after %d ms",
		s.ID, len(s.Items), len(text), vm.Name, status, time.Since(began).Milliseconds())
	return status
}

// Results reads all results of a batch submission. It returns false if one of the reads is not answered 200.
func (vm *VM) Results(id string) (Page, bool) {
	var all Page
	for {
		status, text := vm.call(http.MethodGet, fmt.Sprintf("%s%s?after=%d", names.Results, id, len(all.Results)), "", nil, nil)
		var page Page
		if status != http.StatusOK || json.Unmarshal(text, &page) != nil {
			vm.site.Record.Add("caller: results of %s read at %s: answer %d", id, vm.Name, status)
			return all, false
		}
		all.Total = page.Total
		all.Results = append(all.Results, page.Results...)
		if len(page.Results) == 0 || len(all.Results) >= page.Total {
			return all, true
		}
	}
}

// Body reads the body of an item.
func (vm *VM) Body(submission, item string) (int, []byte) {
	status, text := vm.call(http.MethodGet, names.Items+submission+"?id="+url.QueryEscape(item), "", nil, nil)
	vm.site.Record.Add("caller: body of item %s of %s read at %s: answer %d, %d bytes", item, submission, vm.Name, status, len(text))
	return status, text
}

// Stream sends a request for a stream, and returns the status, 0 for none, and what has arrived of the answer.
// The answer is complete if complete is true.
func (vm *VM) Stream(path, id string) (status int, text string, complete bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+vm.address(vm.site.ports.caller)+path, strings.NewReader("a question"))
	if err != nil {
		Fatal("request: %v", err)
	}
	request.Host = Host
	request.Header.Set(names.ID, id)
	request.Header.Set(names.Timeout, "5000")
	request.Header.Set("Model", "m")
	request.Header.Set(names.Tokens, "300,200")
	request.Header.Set(names.Prompt, "5c1e07a2:200,"+id+":100")
	client := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err == nil
}
