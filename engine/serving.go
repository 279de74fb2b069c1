package engine

import (
	"context"
	"net/http"
	"time"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Call is what a caller's headers say of a request.
type Call struct {
	// ID names this try of the caller; each try has its own.
	ID string
	// Wait is how long the caller waits, 0 if it does not say.
	Wait time.Duration
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens and OutputTokens are the size of the prompt and the most that
	// is generated.
	PromptTokens int
	OutputTokens int
	// Parts are the parts of the prompt in order. The last belongs to the request.
	Parts []Part
	// LastEvent is set if the caller resumes a stream.
	LastEvent string
	// Key proves which workspace the caller belongs to; empty if it gives none. It is
	// neither logged nor passed on.
	Key string
}

// SharedTokens returns the tokens of the parts that other requests may share.
func (c *Call) SharedTokens() int {
	n := 0
	for _, p := range c.Parts[:max(len(c.Parts)-1, 0)] {
		n += p.Tokens
	}
	return n
}

// Subject returns the ID of the last shared part, empty if there is none.
func (c *Call) Subject() string {
	if len(c.Parts) < 2 {
		return ""
	}
	return c.Parts[len(c.Parts)-2].ID
}

// KVSource says where a prompt has been read.
type KVSource struct {
	// Address is that of the engine that read it.
	Address string
	Handle  string
}

// Send says how a request is sent to an instance.
type Send struct {
	Instance string
	// Left is how long the caller still waits.
	Left time.Duration
	// Rank orders requests at an engine; 0 goes first. It is not sent if negative.
	Rank int
	// ReadOnly asks the engine to read the prompt and to keep it for another.
	ReadOnly bool
	// Source is where the prompt was read, if it was.
	Source *KVSource
	// FetchFrom is the address of an engine that may keep parts of the prompt.
	FetchFrom string
	// ResumeAfter is the id of the last event that was delivered.
	ResumeAfter string
	// Backup is the address of an engine that gets a copy of the run's memory as it grows,
	// empty for none.
	Backup string
	// Workspace is the one that the caller's key belongs to, empty for none.
	Workspace string
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// NotRun is true if the instance says that it did not and will not run the
	// request.
	NotRun bool
	// Replaced is true if another instance has the address.
	Replaced bool
	// Genuine is true if the answer bears the seal of an instance.
	Genuine bool
	// Leaving is true if the instance says that it leaves, whatever its registration says.
	Leaving bool
	// Rest is for how long an instance that turned the request away wants nothing more from
	// this process, 0 if it does not say.
	Rest time.Duration
	// RateLimit is what the answer says of the rate of requests that the instance takes.
	RateLimit RateLimit
}

// Protocol translates between the product and what callers and instances speak.
type Protocol interface {
	// Read decodes the headers of a caller's request. The error is of kind Invalid.
	Read(h http.Header) (Call, error)
	// Forward returns the headers to send to an instance.
	Forward(h http.Header, s Send) http.Header
	// Matches reports whether the head of an answer belongs to a request.
	Matches(id string, h http.Header) bool
	// Judge decodes the head of an answer.
	Judge(status int, h http.Header) Verdict
	// ReadResult decodes the answer to a request with ReadOnly.
	ReadResult(body []byte) (handle string, err error)
	// FreeHandle returns the request that frees a prompt that is not wanted.
	FreeHandle(handle string) (method, uri string)
}

// Report is what an engine says of itself. It lags.
type Report struct {
	Role Role
	// Changing is true while an order is under way.
	Changing bool
	// Orders is how many orders the engine has taken since it started.
	Orders int64
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	// Instance is the run of the engine that the order is for; any other refuses.
	Instance string
	Role     Role
	Holder   string
	// Token is the fencing token of the holder's lease.
	Token int64
	// Orders is how many orders the engine must have taken when this one is
	// carried out.
	Orders int64
	// Check is called as the last step before the order is written. The order is
	// not sent if it fails.
	Check func() error
}

// Keeper reads engines' reports and gives them orders. Errors of RoleOrder are of
// kind Conflict if the engine refused it, Unavailable if it was not sent, and
// Unknown if it may be carried out, also much later.
type Keeper interface {
	Report(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, address string, o RoleOrder) error
}
