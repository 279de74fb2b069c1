// Package openai holds the messages of the chat and text completion protocol of
// clients and engines, as far as rockdoor reads or writes them.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/rockdoor/rockdoor/fault"
)

// Headers between rockdoor and an engine.
const (
	// AttemptHeader carries the ID of one attempt. An engine repeats it in its
	// response, so that a response to another attempt is detected.
	AttemptHeader = "X-Request-Id"
	// PriorityHeader carries the priority; higher is more urgent.
	PriorityHeader = "X-Priority"
	// ResumeHeader asks the engine to continue a stream after the given number of
	// events.
	ResumeHeader = "X-Resume-From"
	// PhaseHeader with the value PhasePrefill asks an engine only to prefill the
	// prompt and to export its KV cache.
	PhaseHeader = "X-Phase"
	// KVHeader names an exported KV cache to import instead of prefilling the
	// prompt, and KVTokensHeader its size in tokens.
	KVHeader       = "X-Kv"
	KVTokensHeader = "X-Kv-Tokens"
	// NotRunHeader marks the response of an engine that rejected the request before
	// running it.
	NotRunHeader = "X-Not-Run"
	// RateLimitHeader carries the rate limit of a target, in requests a second from all entry hosts
	// together. A target sends it in every response for as long as the limit holds.
	RateLimitHeader = "X-Rate-Limit"
)

// PhasePrefill is the value of PhaseHeader.
const PhasePrefill = "prefill"

// MaxDecodePrompt is the maximum length of a prompt, in tokens, that an engine in the
// decode role prefills itself. The KV cache of a longer prompt is imported.
const MaxDecodePrompt = 512

// KVExport is the response to a request in the prefill phase.
type KVExport struct {
	// KV names the exported cache.
	KV string `json:"kv"`
	// PromptTokens is the size of the exported cache in tokens.
	PromptTokens int `json:"prompt_tokens"`
}

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// Request is a completion request. Unknown fields reach the engine unchanged, since
// the original body is forwarded.
type Request struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  []Message       `json:"messages,omitempty"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse decodes and validates a request body.
func Parse(body []byte, chat bool) (*Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "body is not a completion request", "send a JSON object as the completion API describes")
	}
	switch {
	case r.Model == "":
		return nil, fault.New(fault.Invalid, "field model is missing", "name a model; GET /v1/models lists them")
	case r.MaxTokens < 0:
		return nil, fault.New(fault.Invalid, "field max_tokens is negative", "leave it out or make it positive")
	case chat && len(r.Messages) == 0:
		return nil, fault.New(fault.Invalid, "field messages is missing or empty", "send at least one message")
	case !chat && len(r.Prompt) == 0:
		return nil, fault.New(fault.Invalid, "field prompt is missing", "send a prompt")
	}
	return &r, nil
}

// PromptText returns the text of the prompt and of all messages.
func (r *Request) PromptText() string {
	var b strings.Builder
	b.WriteString(jsonText(r.Prompt))
	for _, m := range r.Messages {
		b.WriteString(jsonText(m.Content))
	}
	return b.String()
}

// PromptBytes returns the size of the JSON of the prompt and of all message contents.
func (r *Request) PromptBytes() int {
	n := len(r.Prompt)
	for _, m := range r.Messages {
		n += len(m.Content)
	}
	return n
}

// jsonText returns the value of a JSON string, or the JSON text of any other type.
func jsonText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is one alternative in a chunk or response.
type Choice struct {
	Index        int              `json:"index"`
	Text         string           `json:"text,omitempty"`
	Delta        *Delta           `json:"delta,omitempty"`
	Message      *ResponseMessage `json:"message,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// Delta is the increment of a chat message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ResponseMessage is a complete chat message.
type ResponseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Response is a complete response.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Model is one entry of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

func objectType(chat bool, textType, chatType string) string {
	if chat {
		return chatType
	}
	return textType
}

// NewChunk returns the stream event that carries text.
func NewChunk(id, model, text string, chat bool) Chunk {
	c := Chunk{ID: id, Object: objectType(chat, "text_completion", "chat.completion.chunk"), Model: model}
	if chat {
		c.Choices = []Choice{{Delta: &Delta{Content: text}}}
	} else {
		c.Choices = []Choice{{Text: text}}
	}
	return c
}

// NewFinalChunk returns the last event before Done, which carries the finish reason.
func NewFinalChunk(id, model string, chat bool) Chunk {
	c := NewChunk(id, model, "", chat)
	stop := "stop"
	c.Choices[0].FinishReason = &stop
	return c
}

// NewResponse returns a complete response.
func NewResponse(id, model, text string, prompt, completion int, chat bool) Response {
	stop := "stop"
	r := Response{ID: id, Object: objectType(chat, "text_completion", "chat.completion"), Model: model}
	r.Usage = Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
	c := Choice{FinishReason: &stop}
	if chat {
		c.Message = &ResponseMessage{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	r.Choices = []Choice{c}
	return r
}
