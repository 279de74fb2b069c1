package engine

import (
	"context"
	"net/http"
	"time"
)

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Call holds the decoded headers of a client request.
type Call struct {
	// ID identifies one attempt of the client. A retry by the client has another ID.
	ID string
	// ClientTimeout is the client timeout, 0 if the client gives none.
	ClientTimeout time.Duration
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens is the size of the prompt and OutputTokens the maximum size of the
	// output.
	PromptTokens int
	OutputTokens int
	// ExpectedOutputTokens is the client's estimate of the output's size, 0 if it gives none. Single
	// estimates are often far off.
	ExpectedOutputTokens int
	// Parts are the parts of the prompt in order. The last part is specific to the
	// request.
	Parts []Part
	// LastEvent is the ID of the last received event if the client resumes a stream.
	LastEvent string
	// Resumes is the ID of the attempt that brought the first event of the stream that the client
	// resumes, empty if it names none.
	Resumes string
	// Key is the API key by which the client authenticates for a workspace, empty if it
	// gives none. It is neither logged nor forwarded.
	Key string
}

// SharedTokens returns the number of tokens in the parts that other requests may share.
func (c *Call) SharedTokens() int {
	n := 0
	for _, p := range c.Parts[:max(len(c.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// PromptPrefix returns the prompt prefix of the request: the ID of the last shared part,
// empty if there is none.
func (c *Call) PromptPrefix() string {
	if len(c.Parts) < 2 {
		return ""
	}
	return c.Parts[len(c.Parts)-2].ID
}

// KVSource is the location of the KV cache of a prompt that has been prefilled.
type KVSource struct {
	// Address is the address of the prefill engine.
	Address string
	Handle  string
}

// SendOptions holds the parameters with which a request is sent to an instance.
type SendOptions struct {
	Instance string
	// Remaining is the remaining client timeout.
	Remaining time.Duration
	// Rank is the rank of the request in the engine's queue; rank 0 runs first. It is
	// not sent if negative.
	Rank int
	// PrefillOnly asks the engine only to prefill the prompt and to hold its KV cache for
	// another engine.
	PrefillOnly bool
	// Source is the location of the prompt's KV cache, nil if the prompt has not been
	// prefilled.
	Source *KVSource
	// FetchFrom is the address of an engine that may have parts of the prompt cached.
	FetchFrom string
	// ResumeAfter is the ID of the last event that was delivered to the client.
	ResumeAfter string
	// Backup is the address of an engine to which the KV cache of the run is replicated
	// as it grows, empty for none.
	Backup string
	// Workspace is the workspace of the client's key, empty for none.
	Workspace string
}

// Verdict is what the status and the headers of a response say.
type Verdict struct {
	// NotRun is true if the instance states that it has not run the request and will
	// not run it.
	NotRun bool
	// Misdirected is true if the instance at the address states that the request was not meant for it.
	Misdirected bool
	// Sealed is true if the response carries the header by which it is known to come
	// from an instance.
	Sealed bool
	// ShuttingDown is true if the instance states that it is shutting down, whatever its
	// registration says.
	ShuttingDown bool
	// Backoff is the backoff that an instance asked of this process when it rejected the
	// request, 0 if it asked for none.
	Backoff time.Duration
	// RateLimit is the rate limit that the instance announces in the response.
	RateLimit RateLimit
}

// Protocol translates between rockdoor and the headers that clients and instances use.
type Protocol interface {
	// DecodeRequest decodes the headers of a client request. The error is of kind Invalid.
	DecodeRequest(h http.Header) (Call, error)
	// Forward returns the headers to send to an instance.
	Forward(h http.Header, s SendOptions) http.Header
	// ResponseID returns the ID of the request that the headers of a response state, empty if they state none.
	ResponseID(h http.Header) string
	// ReadOutcome decodes the status and the headers of a response.
	ReadOutcome(status int, h http.Header) Verdict
	// DecodePrefillResult decodes the response to a request with PrefillOnly.
	DecodePrefillResult(body []byte) (handle string, err error)
	// FreeHandle returns the request that frees the KV cache of a prefilled prompt that
	// is no longer needed.
	FreeHandle(handle string) (method, uri string)
}

// Report is the state that an engine reports. It is out of date by some delay.
type Report struct {
	Role Role
	// Changing is true while an order is in progress.
	Changing bool
	// Orders is the number of orders that the engine has accepted since it started.
	Orders int64
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	// Instance is the run of the engine to which the order is addressed. Any other run
	// rejects the order.
	Instance string
	Role     Role
	Holder   string
	// Token is the fencing token of the holder's lease.
	Token int64
	// Orders is the number of orders that the engine must have accepted before this one,
	// no more and no fewer. Otherwise it rejects this order.
	Orders int64
	// Check is called immediately before the order is written to the connection. If it
	// fails, the order is not sent.
	Check func() error
}

// RoleClient reads the reports of engines and sends them orders. Errors of Order are of kind
// Conflict if the engine rejected the order, Unavailable if the order was not sent, and
// Unknown if the engine may carry it out, possibly much later.
type RoleClient interface {
	Report(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, address string, o RoleOrder) error
}
