// Package trace explains what happened to one request from the logs of several gateways: the decisions
// about the request, and what the process that served it learned in the meantime.
package trace

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/rockdoor/rockdoor/fault"
)

const (
	// maxLine is the maximum size of a log line in bytes.
	maxLine = 1 << 20
	// contextPeriod is how long before a request a log line may explain its outcome.
	contextPeriod = 5 * time.Second
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Process string
	Msg     string
	Fields  []Field
}

// Field is a key and its value.
type Field struct{ Key, Value string }

// Get returns the value of a key, or the empty string if the line does not have the key.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read reads the lines of a log, except those about requests with another ID than id; if id is empty, it reads
// all lines. Text before the time stamp, as log collectors add it, and lines that are not log lines are
// skipped.
func Read(r io.Reader, id string) ([]Line, error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	var out []Line
	for scan.Scan() {
		line, ok := parse(scan.Bytes())
		if ok && (id == "" || line.Get("request") == "" || line.Get("request") == id) {
			out = append(out, line)
		}
	}
	if err := scan.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "log cannot be read", "check that the file is a log of rockdoor")
	}
	return out, nil
}

func parse(text []byte) (Line, bool) {
	at := bytes.Index(text, []byte("ts="))
	if at < 0 {
		return Line{}, false
	}
	dec := logfmt.NewDecoder(bytes.NewReader(text[at:]))
	if !dec.ScanRecord() {
		return Line{}, false
	}
	var l Line
	for dec.ScanKeyval() {
		key, value := string(dec.Key()), string(dec.Value())
		switch key {
		case "ts":
			l.At, _ = time.Parse(time.RFC3339Nano, value) // a zero time is rejected below
		case "process":
			l.Process = value
		case "msg":
			l.Msg = value
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	return l, dec.Err() == nil && !l.At.IsZero() && l.Msg != ""
}

// RequestTrace is what the logs contain about a request.
type RequestTrace struct {
	// Lines are the lines about the request and the lines of its process that may explain its outcome,
	// in order.
	Lines []Line
	// Outcome is the outcome in the last line about the request, empty if that line has none.
	Outcome string
	// Cause explains the outcome in words, Remedy says what an operator can do.
	Cause, Remedy string
}

// contextMessages are the messages that may explain the outcome of a request.
var contextMessages = map[string]bool{
	"configuration in force": true, "configuration left out": true, "store lost": true, "store regained": true,
	"instance": true, "instance gone": true, "instance lapsed": true, "rules in force": true, "rules removed": true,
	"path to an instance is cut; a peer reaches it": true, "path to an instance works again": true, "peer does not pass on the bytes of a relayed connection": true,
	"role decision": true, "order": true, "stopping": true, "start": true, "ready": true, "peer silent": true, "log lines dropped": true,
}

// relayedMessage is the message of a process that relays the connection over which a request is sent.
const relayedMessage = "request relayed"

// ForRequest returns the trace of the request with the given ID. The error is of kind NotFound if no line is about
// the request.
func ForRequest(lines []Line, id string) (*RequestTrace, error) {
	var all, own []Line
	engines := map[string]bool{}
	for _, l := range lines {
		if l.Get("request") != id {
			continue
		}
		all = append(all, l)
		if l.Msg == relayedMessage {
			continue // of a process that only relayed the connection
		}
		own = append(own, l)
		for _, key := range []string{"reader", "runner", "fetch_from"} {
			if v := l.Get(key); v != "" {
				engines[v] = true
			}
		}
	}
	if len(own) == 0 {
		return nil, fault.Newf(fault.NotFound, "give the logs of all gateways of that time", "no line is about request %s", id)
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.At.Compare(b.At) })
	last := own[len(own)-1]
	t := &RequestTrace{Lines: all}
	for _, l := range lines {
		if isContext(l, own, engines) {
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	t.explainOutcome(last)
	return t, nil
}

// isContext reports whether a line of the request's process may explain the outcome: it was logged during the
// request or up to contextPeriod before. If the line names an instance, a decision about the request must have
// named the same instance.
func isContext(l Line, own []Line, engines map[string]bool) bool {
	if l.Get("request") != "" || !contextMessages[l.Msg] || l.Process != own[0].Process {
		return false
	}
	if l.At.Before(own[0].At.Add(-contextPeriod)) || l.At.After(own[len(own)-1].At) {
		return false
	}
	if id := l.Get("id") + l.Get("engine"); id != "" {
		return engines[id]
	}
	return true
}

type explanation struct{ cause, remedy string }

var explanations = map[string]explanation{
	"ok":             {"the complete response was sent to the client", "if the response was over its latency target, compare ahead (queueing delay) and read (prefill time) of the decision with the target: the queue was long, or the prompt was not cached"},
	"not-ready":      {"the process had not loaded a configuration and the instances yet", "look for the messages store lost and start; the load balancer should not have sent the request to this process"},
	"stopping":       {"the process was being stopped and the request could not be expected to end before it", "none: other processes serve it at once; if there are many, raise the grace period above the time that requests of the route take"},
	"memory-full":    {"the bodies that the process buffers took all the memory it may use for them", "see the sizes of the requests at that time; raise memoryMB in the settings or add processes"},
	"unknown-key":    {"no workspace of the configuration in force has the API key", "compare config with the version that the operator published; the client may use a revoked key"},
	"key-unproven":   {"the process did not know that its configuration was the newest, so the key might have been revoked", "compare proof_age of other decisions with bounds.revoke; look for the message store lost"},
	"quarantined":    {"instances crashed while they ran this request, so it is rejected for a while", "see err for the instances and rockdoor gateway quarantine for the request; repair the engines or change the request, then release it"},
	"unknown-origin": {"the client resumed a stream, and no process knew which software version had begun it, or its route no longer leads there", "see known_by and resumes of the message resuming stream; the process that began the stream and those with its records were lost, or the ID is wrong"},
	"rate-limited":   {"all permitted instances had reached the rate limits that they announce", "see rockdoor gateway limits at a gateway that decides"},
	"no-route":       {"no route of the configuration in force matches the request", "compare config with the version that the operator published; an older version means that the process could not reach the store"},
	"bad-request":    {"the headers of the request were invalid", "see err"},
	"bad-body":       {"the body was too large, arrived too slowly, or was truncated", "see err"},
	"none-permitted": {"no instance of the service accepts requests: none is registered and ready where the rules permit", "look for the messages instance gone and store lost; run rockdoor gateway explain against a gateway"},
	"all-full":       {"all permitted instances were at their request limit", "see the requests of each instance in rockdoor gateway explain; the fleet is too small for this peak, or engines are unavailable"},
	"hopeless":       {"no engine was expected to prefill the prompt before the client timeout, so the request was rejected at once", "compare ahead (queueing delay) and read (prefill time) with first_event_left (time until the client timeout) of the decision; logs of older versions have only left, the time until the deadline: there was a load peak, or prefill engines are unavailable"},
	"attempts-used":  {"several instances refused the request until all its attempts were used", "see err of the attempts; engines may be full or failing"},
	"budget-empty":   {"an instance refused the request or failed, and the retry budget of the service is used up", "see in the lines of the other requests which instances refuse requests"},
	"lost":           {"an instance failed, or the connection to it broke, when the request may already have run, so the request was not retried; attribution=ambiguous: a response came that may be another request's, and none with this one's ID", "see the log of the instance that the decision names as runner; have it state the request ID in all its responses, rejections too"},
	"deadline":       {"the deadline of the request passed before the response was complete", "see ahead (queueing delay) and read (prefill time) of the decision; late=true means that no engine was expected to meet the latency target"},
	"shutdown":       {"the grace period of the process ended before the response was complete", "let the grace period exceed the timeouts of the routes"},
	"caller-gone":    {"the client disconnected before the response was complete", "none"},
	"over-share":     {"there was too little engine time, the workspace had asked for more than its share of it, and the others left too little, so the request was rejected at once", "see which workspaces ask for how much with rockdoor gateway shares; give the workspace a greater weight or a floor with rockdoor shares apply, or add engines"},
}

func (t *RequestTrace) explainOutcome(last Line) {
	t.Outcome = last.Get("outcome")
	v, known := explanations[t.Outcome]
	switch {
	case t.Outcome == "":
		v = explanation{"the logs end before the request did: the process was killed, or log lines were dropped", "see the log of the load balancer; look for the message log lines dropped"}
	case !known:
		v = explanation{"outcome " + t.Outcome, "see err"}
	}
	t.Cause, t.Remedy = v.cause, v.remedy
}

// Write writes the trace as text, with times relative to the first line about the request.
func (t *RequestTrace) Write(w io.Writer) error {
	var first time.Time
	for _, l := range t.Lines {
		if l.Get("request") != "" {
			first = l.At
			break
		}
	}
	var b strings.Builder
	for _, l := range t.Lines {
		b.WriteString(l.At.Format("15:04:05.000") + " " + formatOffset(l.At.Sub(first)) + "  " + l.Process + "  " + l.Msg)
		for _, f := range l.Fields {
			if f.Key == "level" || f.Key == "request" || f.Key == "component" {
				continue
			}
			b.WriteString("  " + f.Key + "=" + f.Value)
		}
		b.WriteByte('\n')
	}
	b.WriteString("\noutcome: " + t.Outcome + "\ncause:   " + t.Cause + "\nremedy:  " + t.Remedy + "\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func formatOffset(d time.Duration) string {
	sign := "+"
	if d < 0 {
		sign = ""
	}
	return sign + d.Round(100*time.Microsecond).String()
}
