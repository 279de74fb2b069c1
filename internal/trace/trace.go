// Package trace tells the story of one request from the logs of several
// gateways: the decisions that touched it, and what the process that took it
// came to believe meanwhile.
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
	// maxLine bounds one line of a log in bytes.
	maxLine = 1 << 20
	// before is how long before a request beliefs are shown that may explain it.
	before = 5 * time.Second
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Process string
	Msg     string
	Fields  []Field
}

// Field is one key and its value.
type Field struct{ Key, Value string }

// Get returns the value of a key, empty if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Read reads the lines of a log that are not about other requests than id, or all lines
// if id is empty. Text before the time stamp, as collectors put it there, is passed over,
// and so are lines that are not log lines.
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
			l.At, _ = time.Parse(time.RFC3339Nano, value) // checked below
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

// Story is what the logs tell of a request.
type Story struct {
	// Lines are those of the request, and the beliefs of its process that may
	// explain them, in order.
	Lines []Line
	// Outcome is the code of the request's last line, empty if it has none.
	Outcome string
	// Cause says in words what the outcome means, Remedy what can be done.
	Cause, Remedy string
}

// beliefs are the messages that may explain a request's end.
var beliefs = map[string]bool{
	"configuration in force": true, "configuration left out": true, "store lost": true, "store regained": true,
	"instance": true, "instance gone": true, "instance lapsed": true, "rules in force": true, "rules removed": true,
	"role decision": true, "order": true, "stopping": true, "start": true, "ready": true, "peer silent": true, "log lines dropped": true,
}

// Tell tells the story of the request with the id. The error is of kind NotFound
// if no line is about it.
func Tell(lines []Line, id string) (*Story, error) {
	var own []Line
	engines := map[string]bool{}
	for _, l := range lines {
		if l.Get("request") != id {
			continue
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
	s := &Story{Lines: slices.Clone(own)}
	for _, l := range lines {
		if explains(l, own, engines) {
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s.judge(last)
	return s, nil
}

// explains reports whether a line tells what the process of a request came to
// believe shortly before or during it.
func explains(l Line, own []Line, engines map[string]bool) bool {
	if l.Get("request") != "" || !beliefs[l.Msg] || l.Process != own[0].Process {
		return false
	}
	if l.At.Before(own[0].At.Add(-before)) || l.At.After(own[len(own)-1].At) {
		return false
	}
	if id := l.Get("id") + l.Get("engine"); id != "" {
		return engines[id]
	}
	return true
}

type verdict struct{ cause, remedy string }

var verdicts = map[string]verdict{
	"ok":              {"the whole answer was passed on", "if it was late, compare ahead and read of the decision with the latency target: a long queue, or a prompt that was not kept"},
	"not-ready":       {"the process did not know a configuration and the instances yet", "see store lost and start; the balancer should not have led here"},
	"no-route":        {"no route of the configuration in force matches", "compare config with the operator's version; an old one says that the store was not reached"},
	"bad-request":     {"the request's headers were wrong", "see err"},
	"bad-body":        {"the body was too large, too slow, or cut", "see err"},
	"none-permitted":  {"no instance of the service takes requests: none is registered and ready where the rules permit", "see instance gone and store lost; ask a gateway with rockdoor gateway explain"},
	"all-full":        {"all permitted instances have as much as they take", "see requests in rockdoor gateway explain; the fleet is too small for this peak, or engines are missing"},
	"hopeless":        {"no engine was expected to read the prompt before the caller's time was up, so it was refused at once", "compare ahead and read with left of the decision: a peak, or readers missing"},
	"attempts-used":   {"several instances refused", "see err of the attempts; engines may be full or failing"},
	"budget-empty":    {"an instance refused or failed and the retry budget of the service is used up", "see which instances refuse in the other requests' lines"},
	"lost":            {"an instance broke off and the request may have run, so it was not repeated", "see the log of the runner"},
	"deadline":        {"the time was up before an answer", "see ahead and read of the decision; late=true says that no engine was expected to be in time"},
	"caller-gone":     {"the caller left before the answer", "none"},
	"lost-connection": {"the caller could not be reached", "none"},
}

func (s *Story) judge(last Line) {
	s.Outcome = last.Get("outcome")
	v, known := verdicts[s.Outcome]
	switch {
	case s.Outcome == "":
		v = verdict{"the logs end before the request did: the process was killed, or lines were dropped", "see the balancer's record; look for log lines dropped"}
	case !known:
		v = verdict{"outcome " + s.Outcome, "see err"}
	}
	s.Cause, s.Remedy = v.cause, v.remedy
}

// Write writes the story for a reader, with times relative to the request's
// first line.
func (s *Story) Write(w io.Writer) error {
	var first time.Time
	for _, l := range s.Lines {
		if l.Get("request") != "" {
			first = l.At
			break
		}
	}
	var b strings.Builder
	for _, l := range s.Lines {
		b.WriteString(l.At.Format("15:04:05.000") + " " + offset(l.At.Sub(first)) + "  " + l.Process + "  " + l.Msg)
		for _, f := range l.Fields {
			if f.Key == "level" || f.Key == "request" || f.Key == "component" {
				continue
			}
			b.WriteString("  " + f.Key + "=" + f.Value)
		}
		b.WriteByte('\n')
	}
	b.WriteString("\noutcome: " + s.Outcome + "\ncause:   " + s.Cause + "\nremedy:  " + s.Remedy + "\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func offset(d time.Duration) string {
	sign := "+"
	if d < 0 {
		sign = ""
	}
	return sign + d.Round(100*time.Microsecond).String()
}
