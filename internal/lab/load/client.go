package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/internal/responsehead"
	"github.com/rockdoor/rockdoor/internal/standin/answer"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

// LoadIDHeader carries the ID of a request to the stand-ins, which record it.
const LoadIDHeader = "X-Load-Id"

const (
	requestTimeout = 120 * time.Second
	maxEventBytes  = 1 << 20
)

// Outcome is what became of a request, as far as its client can tell.
type Outcome string

// Outcomes. rockdoor reports all but Broken, in the header entry.HeaderOutcome or, for a stream, in the
// trailer of this name.
const (
	Complete Outcome = "complete"
	NotRun   Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	Failed  Outcome = "failed"
	// Broken means that the connection ended without a final response.
	Broken Outcome = "broken"
)

// Result is one request as its client observed it.
type Result struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	// Entry is the address of the entry host that the request was sent to.
	Entry string `json:"entry"`
	// Planned is the planned arrival, as the time since the start of the run.
	Planned time.Duration `json:"planned"`
	// First is the time from the planned arrival to the first token, Gap the 95th percentile of the
	// time between tokens, and Total the time from the planned arrival to the end.
	First        time.Duration `json:"first"`
	Gap          time.Duration `json:"gap"`
	Total        time.Duration `json:"total"`
	PromptTokens int           `json:"prompt"`
	// Tokens is the number of generated tokens that the client received in a stream.
	Tokens  int     `json:"tokens"`
	Outcome Outcome `json:"outcome"`
	// Code is the error code of the response, or the client's own code if the connection ended.
	Code string `json:"code"`
	// RetryAfter is the delay that a rejection asked for.
	RetryAfter time.Duration `json:"retryAfter"`
	// WrongResponse is true if a complete response belonged to another request.
	WrongResponse bool `json:"wrong"`
	// Good is true if the response was complete, correct and within its time bounds.
	Good bool `json:"good"`
}

// client sends requests to entry hosts.
type client struct {
	entries []string
	http    *http.Client
}

func newClient(entries []string) *client {
	return &client{entries: entries, http: &http.Client{
		Timeout:   requestTimeout,
		Transport: responsehead.Transport{Base: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}},
	}}
}

// prompt returns a text of the given number of tokens that is unique to the request.
func prompt(id string, tokens int) string {
	head := "request " + id + " "
	return head + strings.Repeat("flag ", max(0, tokens*4-len(head))/5)
}

// send sends one request and returns its result. due is the planned arrival time.
func (c *client) send(ctx context.Context, id string, a Arrival, due time.Time) Result {
	r := Result{ID: id, Class: a.Class.Name, Planned: a.At, PromptTokens: a.PromptTokens, Entry: c.entries[rand.IntN(len(c.entries))]}
	text := prompt(id, a.PromptTokens)
	req, err := c.request(ctx, r.Entry, id, text, a)
	if err != nil {
		r.Outcome, r.Code = Broken, err.Error()
		return r
	}
	resp, err := c.http.Do(req)
	if err != nil {
		r.Outcome, r.Code, r.Total = Broken, "no_answer", time.Since(due)
		return r
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		r.readError(resp)
	case a.Class.Stream:
		r.readStream(resp, due, answer.Text(text, a.OutputTokens))
	default:
		r.readBody(resp, due, expected(a, text, req))
	}
	r.Total = time.Since(due)
	r.Good = r.Outcome == Complete && !r.WrongResponse && withinBound(r.First, a.Class.FirstTokenBound) && withinBound(r.Gap, a.Class.TokenGapBound) && withinBound(r.Total, a.Class.TotalBound)
	return r
}

func withinBound(d, bound time.Duration) bool { return bound == 0 || d <= bound }

func (c *client) request(ctx context.Context, host, id, text string, a Arrival) (*http.Request, error) {
	method, path, body := http.MethodGet, a.Class.Path, []byte(nil)
	if a.Class.Model != "" {
		method, path = http.MethodPost, "/v1/chat/completions"
		content, _ := json.Marshal(text)
		body, _ = json.Marshal(openai.Request{
			Model: a.Class.Model, Stream: a.Class.Stream, MaxTokens: a.OutputTokens,
			Messages: []openai.Message{{Role: "user", Content: content}},
		})
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	h := req.Header
	h.Set("Authorization", "Bearer key-"+a.Class.Workspace)
	h.Set(LoadIDHeader, id)
	if a.Class.WithIdempotencyKey {
		h.Set(entry.HeaderKey, id)
	}
	if a.Class.Priority != "" {
		h.Set(entry.HeaderPriority, a.Class.Priority)
	}
	if a.Class.Selector != "" {
		h.Set(entry.HeaderSelector, a.Class.Selector)
	}
	return req, nil
}

// expected returns the response body that the stand-ins generate for a request.
func expected(a Arrival, text string, req *http.Request) string {
	if a.Class.Model != "" {
		return answer.Text(text, a.OutputTokens)
	}
	return serviced.ResponseBody(req.Method, req.URL.Path, nil)
}

// readError reads an unsuccessful response.
func (r *Result) readError(resp *http.Response) {
	var e openai.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&e)
	r.Code = e.Error.Code
	r.Outcome = Outcome(resp.Header.Get(entry.HeaderOutcome))
	switch r.Outcome {
	case "":
		r.Outcome = Broken
	case Complete: // no class asks for another status than 200
		r.Outcome = Failed
	}
	if ms, err := strconv.Atoi(resp.Header.Get("Retry-After-Ms")); err == nil {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
}

func (r *Result) readBody(resp *http.Response, due time.Time, want string) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Outcome, r.Code = Broken, "cut"
		return
	}
	r.First = time.Since(due)
	r.Outcome = Complete
	got := string(body)
	var completion openai.Response
	if json.Unmarshal(body, &completion) == nil && len(completion.Choices) > 0 && completion.Choices[0].Message != nil {
		got = completion.Choices[0].Message.Content
	}
	r.WrongResponse = got != want
}

func (r *Result) readStream(resp *http.Response, due time.Time, want string) {
	var got strings.Builder
	var gaps []time.Duration
	last, malformed := due, false
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			break
		}
		if ev.Data == openai.Done {
			r.Outcome = Complete
			break
		}
		if code := streamError(ev.Data); code != "" {
			r.Code = code
			_, _ = io.Copy(io.Discard, resp.Body)
			r.Outcome = Outcome(resp.Trailer.Get(entry.HeaderOutcome))
			return
		}
		var c openai.Chunk
		if json.Unmarshal([]byte(ev.Data), &c) != nil {
			malformed = true
			continue
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta == nil || c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if r.Tokens == 0 {
			r.First = now.Sub(due)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
		r.Tokens++
		got.WriteString(c.Choices[0].Delta.Content)
	}
	if r.Outcome == "" {
		r.Outcome, r.Code = Broken, "cut"
		return
	}
	r.Gap = Percentile(gaps, 0.95)
	r.WrongResponse = malformed || got.String() != want
}

func streamError(data string) string {
	var e openai.ErrorBody
	if json.Unmarshal([]byte(data), &e) == nil {
		return e.Error.Code
	}
	return ""
}
