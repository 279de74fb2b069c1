package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/standin/answer"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
)

// foreign has the first engine send a response. mediaType holds the values of Content-Type.
func foreign(calls *atomic.Int64, status int, mediaType []string, body string) func(int, http.ResponseWriter, *http.Request) bool {
	return func(engine int, w http.ResponseWriter, r *http.Request) bool {
		if engine != 0 {
			return false
		}
		calls.Add(1)
		w.Header().Set(openai.AttemptHeader, r.Header.Get(openai.AttemptHeader))
		w.Header()["Content-Type"] = mediaType
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body) // fails where the status has no body
		return true
	}
}

func soundStream(t *testing.T) string {
	out := ""
	for i := range 6 {
		data, err := json.Marshal(openai.NewChunk("x", "review", answer.Piece("hello", i), true))
		require.NoError(t, err)
		out += "data: " + string(data) + "\n\n"
	}
	return out + "data: " + openai.Done + "\n\n"
}

// TestForeignResponsesOfCompletionsAreNotForwarded has an engine answer a completion with a successful response that is none. The
// client must get nothing of it.
func TestForeignResponsesOfCompletionsAreNotForwarded(t *testing.T) {
	stream := []string{"text/event-stream"}
	plain := []string{"application/json"}
	sound := soundStream(t)
	for name, c := range map[string]struct {
		stream    bool
		status    int
		mediaType []string
		body      string
	}{
		"stream: JSON":               {true, 200, plain, `{"garbage": 1}`},
		"stream: a completion":       {true, 200, plain, `{"choices": []}`},
		"stream: events as text":     {true, 200, []string{"text/plain"}, sound},
		"stream: a longer type":      {true, 200, []string{"text/event-streams"}, sound},
		"stream: an empty type":      {true, 200, []string{""}, sound},
		"stream: two types":          {true, 200, []string{"text/event-stream", "text/plain"}, sound},
		"stream: created":            {true, 201, stream, sound},
		"stream: no content":         {true, 204, stream, ""},
		"stream: partial":            {true, 206, stream, sound},
		"stream: unknown":            {true, 299, plain, `{"garbage": 1}`},
		"stream: upper case garbage": {true, 200, []string{"TEXT/Event-Stream"}, `{"garbage": 1}`},
		"stream: no type, garbage":   {true, 200, nil, `{"garbage": 1}`},
		"stream: no event":           {true, 200, stream, "data: " + openai.Done + "\n\n"},
		"created":                    {false, 201, plain, `{"choices": []}`},
		"no content":                 {false, 204, plain, ""},
		"partial":                    {false, 206, plain, `{"choices": [], "garbage": 1}`},
		"unknown":                    {false, 299, plain, `garbage`},
		"empty object":               {false, 200, plain, `{}`},
		"null":                       {false, 200, plain, `null`},
		"text":                       {false, 200, plain, `"garbage"`},
		"no choices":                 {false, 200, plain, `{"garbage": 1}`},
		"an event":                   {false, 200, stream, "data: garbage\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f, calls := start(t), atomic.Int64{}
			f.respond = foreign(&calls, c.status, c.mediaType, c.body)
			got := f.chat("review", c.stream, HeaderSelector, "domain=d0")
			require.Equal(t, http.StatusBadGateway, got.status, got.body)
			require.Equal(t, codeUnknown, got.code(t))
			require.EqualValues(t, 1, calls.Load())

			f = start(t)
			f.respond = foreign(&calls, c.status, c.mediaType, c.body)
			for n := 0; n < 20 && calls.Load() == 1; n++ { // some begin at the other engine
				got = f.chat("notes", c.stream)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.NotContains(t, got.body, "garbage")
				if c.stream {
					pieces, done := text(t, got.body)
					require.True(t, done)
					require.Equal(t, answer.Text("hello", 6), pieces)
				}
			}
			require.EqualValues(t, 2, calls.Load())
		})
	}
}

// TestCompletionsWithBrokenHeadsAreNotForwarded has an engine answer a completion or a stream, sound by itself, with a broken head.
func TestCompletionsWithBrokenHeadsAreNotForwarded(t *testing.T) {
	stream := "Content-Type: text/event-stream\r\n"
	sound := strings.ReplaceAll(soundStream(t), answer.Piece("hello", 1), "garbage")
	for name, head := range rawresponse.BrokenHeads() {
		for form, c := range map[string]struct {
			stream       bool
			status       string
			fields, body string
		}{
			"completion": {false, "200 OK", "", `{"choices": [], "garbage": 1}`},
			"stream":     {true, "200 OK", stream, sound},
			"not found":  {false, "404 Not Found", "", `{"error": "garbage"}`},
			"not run":    {false, "503 Service Unavailable", openai.NotRunHeader + ": true\r\n", `{"error": "garbage"}`},
		} {
			t.Run(name+"/"+form, func(t *testing.T) {
				var calls atomic.Int64
				send := func(engine int, w http.ResponseWriter, r *http.Request) bool {
					if engine != 0 {
						return false
					}
					calls.Add(1)
					rawresponse.Send(w, fmt.Sprintf("%s\r\n%s: %s\r\n%s%sContent-Length: %d\r\n\r\n%s", strings.Replace(head.Status, "200 OK", c.status, 1),
						openai.AttemptHeader, r.Header.Get(openai.AttemptHeader), c.fields, head.Fields, len(c.body), c.body))
					return true
				}
				f := start(t)
				f.respond = send
				got := f.chat("review", c.stream, HeaderSelector, "domain=d0")
				require.Equal(t, http.StatusBadGateway, got.status, got.body)
				require.Equal(t, codeUnknown, got.code(t))
				require.EqualValues(t, 1, calls.Load())

				f = start(t)
				f.respond = send
				for n := 0; n < 20 && calls.Load() == 1; n++ { // some begin at the other engine
					got = f.chat("notes", c.stream)
					require.Equal(t, http.StatusOK, got.status, got.body)
					require.NotContains(t, got.body, "garbage")
				}
				require.EqualValues(t, 2, calls.Load())
			})
		}
	}
}

// TestCompletionsInTheirOtherFormsAreForwarded sends streams whose type is written in another way, and errors.
func TestCompletionsInTheirOtherFormsAreForwarded(t *testing.T) {
	for _, mediaType := range [][]string{nil, {"TEXT/Event-Stream"}, {"text/event-stream; charset=utf-8"}, {"text/event-stream ;a=b"}} {
		f, calls := start(t), atomic.Int64{}
		f.respond = foreign(&calls, http.StatusOK, mediaType, soundStream(t))
		got := f.chat("review", true, HeaderSelector, "domain=d0")
		pieces, done := text(t, got.body)
		require.True(t, done, got.body)
		require.Equal(t, answer.Text("hello", 6), pieces)
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusTooManyRequests} {
		f, calls := start(t), atomic.Int64{}
		f.respond = foreign(&calls, status, []string{"text/event-stream"}, "data: {}\n\n")
		got := f.chat("review", true, HeaderSelector, "domain=d0")
		require.Equal(t, status, got.status, "an error stays one")
	}
}

// TestOddKVExportIsNotImported has a prefill engine answer with an export that no engine can import.
func TestOddKVExportIsNotImported(t *testing.T) {
	for _, body := range []string{
		`{}`, `null`, `{"kv":"","prompt_tokens":9}`, `{"kv":"a\u0001b","prompt_tokens":9}`, `{"kv":"a b","prompt_tokens":9}`, `{"kv":"a\r\nX-Y: z","prompt_tokens":9}`,
		`{"kv":"\u00e9","prompt_tokens":9}`, `{"kv":"` + strings.Repeat("a", 300) + `","prompt_tokens":9}`, `{"kv":"a","prompt_tokens":-1}`,
		`{"kv":"a","prompt_tokens":1000000000000}`, `{"kv":"a"}`, `{"kv":"a","prompt_tokens":9}{}`,
	} {
		f, calls, imports := start(t), atomic.Int64{}, atomic.Int64{}
		export := foreign(&calls, http.StatusOK, []string{"application/json"}, body)
		f.respond = func(engine int, w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get(openai.KVHeader) != "" {
				imports.Add(1)
			}
			return engine == 0 && export(engine, w, r)
		}
		f.snapshot.Reports = map[string]control.Report{"e0": {Status: engine.Status{Role: engine.RolePrefill}}}
		got := f.do(http.MethodPost, pathChat, `{"model": "review", "max_tokens": 6, "messages": [{"role": "user", "content": "`+strings.Repeat("word ", 600)+`"}]}`)
		require.Equal(t, http.StatusOK, got.status, "%s: %s", body, got.body)
		require.EqualValues(t, 1, calls.Load(), "the prompt was sent for prefill")
		require.Zero(t, imports.Load(), body)
	}
}

// TestForeignResponseToAResumptionIsNotForwarded cuts streams at one engine; the other one answers the request for their rest with a
// successful response that is no stream. Nothing of it may follow the events that the client has.
func TestForeignResponseToAResumptionIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusPartialContent, http.StatusBadRequest} {
		f, calls := start(t), atomic.Int64{}
		f.engines[1].SetFaults(engined.Faults{CutAfter: 3})
		resumed := foreign(&calls, status, []string{"application/json"}, `{"choices": [], "garbage": 1}`)
		f.respond = func(engine int, w http.ResponseWriter, r *http.Request) bool {
			return r.Header.Get(openai.ResumeHeader) != "" && resumed(engine, w, r)
		}
		var got got
		for n := 0; n < 20 && calls.Load() == 0; n++ { // until the first engine has the rest
			got = f.chat("notes", true)
		}
		require.EqualValues(t, 1, calls.Load())
		require.NotContains(t, got.body, "garbage", status)
		pieces, done := text(t, strings.Split(got.body, `data: {"error"`)[0])
		require.False(t, done)
		require.Equal(t, answer.Text("hello", 3), pieces)
		require.Contains(t, got.body, `data: {"error"`)
		require.Equal(t, "unknown", got.trailer.Get(HeaderOutcome), status)
	}
}
