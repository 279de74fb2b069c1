package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/claims"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/standin/answer"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
	"github.com/rockdoor/rockdoor/routing"
)

func TestResponsesAreForwardedCompletely(t *testing.T) {
	f := start(t)
	complete := f.chat("review", false)
	require.Equal(t, 200, complete.status, complete.body)
	require.Equal(t, "complete", complete.header.Get(HeaderOutcome))
	require.Equal(t, "7", complete.header.Get(HeaderRevision))
	require.Contains(t, complete.body, answer.Text("hello", 6))
	stream := f.chat("review", true)
	got, done := text(t, stream.body)
	require.True(t, done)
	require.Equal(t, answer.Text("hello", 6), got)
	require.Equal(t, "complete", stream.trailer.Get(HeaderOutcome))
	require.Equal(t, 2, f.engineRuns())
	plain := f.do(http.MethodPost, "/alerts/x", "farm 7")
	require.Equal(t, serviced.ResponseBody("POST", "/alerts/x", []byte("farm 7")), plain.body)
}

func TestRequestsRunOnlyWhereAllSelectorsPermit(t *testing.T) {
	f := start(t)
	for range 10 {
		require.Equal(t, 200, f.chat("review", false, HeaderSelector, "domain=d1").status)
		require.Equal(t, 200, f.chat("review", true, HeaderWorkspace, "d1only").status)
		require.Equal(t, 200, f.do(http.MethodGet, "/flags/x", "", HeaderWorkspace, "d1only").status)
	}
	require.Empty(t, f.engines[0].Runs())
	require.Empty(t, f.services[0].Runs())
	none := f.chat("local", false, HeaderWorkspace, "d1only")
	require.Equal(t, 503, none.status)
	require.Equal(t, codeNoTarget, none.code(t))
	require.Equal(t, "not_run", none.header.Get(HeaderOutcome))
	require.NotEmpty(t, none.header.Get("Retry-After"))
	wrong := f.chat("review", false, HeaderWorkspace, "elsewhere")
	require.Equal(t, http.StatusMisdirectedRequest, wrong.status)
	require.Equal(t, 20, f.engineRuns())
}

func TestRetriesRespectSelectors(t *testing.T) {
	f := start(t)
	f.engines[0].SetFaults(engined.Faults{CutBeforeHeaders: true})
	for range 3 {
		g := f.chat("notes", false, HeaderSelector, "domain=d0")
		require.Equal(t, 503, g.status)
		require.Equal(t, codeUnknown, g.code(t), "the request may have run, so the outcome must not be not_run")
	}
	require.Empty(t, f.engines[1].Runs())
}

func TestNoRetryAfterPossibleRunUnlessIdempotent(t *testing.T) {
	for name, faults := range map[string]engined.Faults{
		"closed before headers":       {CutBeforeHeaders: true},
		"response to another request": {WrongID: true},
		"garbage":                     {Garbage: true},
		"interrupted stream":          {CutAfter: 3},
		"garbage in a stream":         {GarbageAfter: 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.engineFaults(faults)
			stream := faults.CutAfter > 0 || faults.GarbageAfter > 0
			g := f.chat("review", stream)
			require.Equal(t, 1, f.engineRuns())
			require.NotContains(t, g.body, "data: garbage")
			if stream {
				_, done := text(t, strings.Split(g.body, `data: {"error"`)[0])
				require.False(t, done)
				require.Contains(t, g.body, codeUnknown, "a typed error event ends the stream")
				require.Equal(t, "unknown", g.trailer.Get(HeaderOutcome))
				return
			}
			require.Equal(t, http.StatusBadGateway, g.status)
			require.Equal(t, codeUnknown, g.code(t))
			require.Equal(t, "unknown", g.header.Get(HeaderOutcome))
			require.Empty(t, g.header.Get("Retry-After"))
		})
	}
}

func TestIdempotentRequestsAreRetriedElsewhere(t *testing.T) {
	for name, faults := range map[string]engined.Faults{
		"closed before headers":       {CutBeforeHeaders: true},
		"response to another request": {WrongID: true},
		"interrupted stream":          {CutAfter: 3},
		"garbage in a stream":         {GarbageAfter: 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.engines[0].SetFaults(faults)
			for range 4 {
				g := f.chat("notes", true)
				require.NotContains(t, g.body, "data: garbage")
				got, done := text(t, g.body)
				require.True(t, done, g.body)
				require.Equal(t, answer.Text("hello", 6), got, "no token may be lost or repeated")
			}
		})
	}
}

func TestRejectionByEngineIsNotARun(t *testing.T) {
	f := start(t)
	f.engines[0].SetFaults(engined.Faults{Refuse: true})
	for range 6 {
		require.Equal(t, 200, f.chat("review", false).status)
	}
	f.engineFaults(engined.Faults{Refuse: true})
	g := f.chat("review", false)
	require.Equal(t, 503, g.status)
	require.Equal(t, "not_run", g.header.Get(HeaderOutcome))
	require.Equal(t, 6, f.engineRuns())
}

// By default net/http resends a GET, or a request with an Idempotency-Key, if the
// server closes a keep-alive connection after it has read the request.
func TestTransportNeverResendsRequest(t *testing.T) {
	f := start(t)
	for i, s := range f.services {
		require.Equal(t, 200, f.do(http.MethodGet, "/alerts/warm", "", HeaderSelector, fmt.Sprintf("server=s%d", i)).status)
		s.SetFaults(serviced.Faults{CutBeforeHeaders: true})
	}
	before := f.serviceRuns()
	g := f.do(http.MethodGet, "/alerts/x", "", HeaderKey, "k1")
	require.Equal(t, http.StatusBadGateway, g.status)
	require.Equal(t, "unknown", g.header.Get(HeaderOutcome))
	require.Equal(t, before+1, f.serviceRuns())
	g = f.do(http.MethodPost, "/alerts/x", "body", HeaderKey, "k2")
	require.Equal(t, "unknown", g.header.Get(HeaderOutcome))
	require.Equal(t, before+2, f.serviceRuns())
}

func TestUnreachableTargetIsNotARun(t *testing.T) {
	f := start(t)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, dead.Close())
	for _, target := range f.snapshot.Config.Targets {
		if target.Name == "e0" || target.Name == "s0" {
			target.Address = dead.Addr().String()
		}
	}
	for range 6 {
		require.Equal(t, 200, f.chat("review", false).status)
		require.Equal(t, 200, f.do(http.MethodPost, "/alerts/x", "").status)
	}
	g := f.chat("local", false)
	require.Equal(t, "not_run", g.header.Get(HeaderOutcome))
	require.Equal(t, 6, f.engineRuns())
	require.Equal(t, 6, f.serviceRuns())
}

func TestBadInput(t *testing.T) {
	f := start(t)
	for name, c := range map[string]struct {
		g      got
		status int
		code   string
	}{
		"unknown model":   {f.chat("gpt", false), 404, "not_found"},
		"no JSON":         {f.do("POST", pathChat, "{"), 400, "invalid"},
		"no messages":     {f.do("POST", pathChat, `{"model": "review"}`), 400, "invalid"},
		"too large":       {f.do("POST", pathChat, strings.Repeat("x", 5000)), 413, codeTooLarge},
		"wrong method":    {f.do("DELETE", pathChat, ""), 405, codeMethod},
		"route method":    {f.do("DELETE", "/flags/x", ""), 405, codeMethod},
		"no route":        {f.do("GET", "/nowhere", ""), 404, codeNoRoute},
		"no such API":     {f.do("GET", "/v1/nothing", ""), 404, codeNoRoute},
		"no workspace":    {f.chat("review", false, HeaderWorkspace, "nobody"), 401, "denied"},
		"wrong key":       {f.chat("review", false, HeaderWorkspace, "", "Authorization", "Bearer x"), 401, "denied"},
		"bad selector":    {f.chat("review", false, HeaderSelector, "a in"), 400, "invalid"},
		"bad priority":    {f.chat("review", false, HeaderPriority, "now"), 400, "invalid"},
		"bad deadline":    {f.chat("review", false, HeaderDeadline, "-1s"), 400, "invalid"},
		"bad idempotent":  {f.chat("review", false, HeaderIdempotent, "maybe"), 400, "invalid"},
		"long key":        {f.chat("review", false, HeaderKey, strings.Repeat("k", 300)), 400, "invalid"},
		"negative tokens": {f.do("POST", pathText, `{"model": "review", "prompt": "x", "max_tokens": -1}`), 400, "invalid"},
	} {
		require.Equal(t, c.status, c.g.status, "%s: %s", name, c.g.body)
		require.Equal(t, c.code, c.g.code(t), name)
		require.Equal(t, "not_run", c.g.header.Get(HeaderOutcome), name)
	}
	require.Zero(t, f.engineRuns()+f.serviceRuns())
}

func TestSlowBodyTimesOut(t *testing.T) {
	f := start(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST "+pathChat+" HTTP/1.1\r\nHost: x\r\n"+HeaderWorkspace+": w\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Equal(t, "not_run", resp.Header.Get(HeaderOutcome))
}

func TestStaleProcessRejectsRequests(t *testing.T) {
	f := start(t)
	stale := *f.snapshot
	stale.FreshUntil = bootclock.Now() - 1
	f.set(&stale)
	g := f.chat("review", false)
	require.Equal(t, 503, g.status)
	require.Equal(t, codeStale, g.code(t))
	require.Equal(t, "not_run", g.header.Get(HeaderOutcome))
	require.NotEmpty(t, g.header.Get("Retry-After"))
	require.Zero(t, f.engineRuns())
}

func TestOutcomeAfterDeadlineIsUnknown(t *testing.T) {
	f := start(t)
	f.engineFaults(engined.Faults{NoResponse: true})
	g := f.chat("notes", false, HeaderDeadline, "50ms")
	require.Equal(t, "unknown", g.header.Get(HeaderOutcome))
	g = f.chat("review", true, HeaderDeadline, "50ms")
	require.Equal(t, "unknown", g.header.Get(HeaderOutcome))
}

func TestClientDisconnectCancelsEngineRequest(t *testing.T) {
	f := start(t)
	f.engineFaults(engined.Faults{NoResponse: true})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	body := `{"model": "review", "messages": [{"role": "user", "content": "x"}]}`
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: w\r\nContent-Length: %d\r\n\r\n%s", pathChat, HeaderWorkspace, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.engineRuns() == 1 }, 5*time.Second, time.Millisecond)
	conn.Close()
	require.Eventually(t, func() bool {
		for _, e := range f.engines {
			for _, r := range e.Runs() {
				if r.Cancelled {
					return f.entry.InFlight() == 0
				}
			}
		}
		return false
	}, 5*time.Second, time.Millisecond)
}

func TestFullTargetsRejectAtOnce(t *testing.T) {
	f := start(t)
	f.engineFaults(engined.Faults{NoResponse: true})
	var wg sync.WaitGroup
	for i := range 12 { // 2 engines with a capacity of 4 and a queue factor of 1.5
		wg.Add(1)
		go func() {
			defer wg.Done()
			// Several workspaces, since each is held to its share.
			f.chat("review", false, HeaderDeadline, "1s", HeaderWorkspace, []string{"w", "flood", "third", "fourth"}[i%4])
		}()
	}
	require.Eventually(t, func() bool { return f.engineRuns() == 12 }, 5*time.Second, time.Millisecond)
	g := f.chat("review", false)
	require.Equal(t, codeOverloaded, g.code(t))
	require.Equal(t, "not_run", g.header.Get(HeaderOutcome))
	require.NotEmpty(t, g.header.Get("Retry-After"))
	wg.Wait()
}

func TestWorkspaceRateLimitRejects(t *testing.T) {
	f := start(t)
	statuses := map[int]int{}
	for range 5 {
		statuses[f.do(http.MethodGet, "/flags/x", "", HeaderWorkspace, "slow").status]++
	}
	require.Equal(t, map[int]int{200: 2, 429: 3}, statuses)
}

func TestModelsListsPermittedModels(t *testing.T) {
	f := start(t)
	g := f.do(http.MethodGet, "/v1/models", "", HeaderWorkspace, "d1only")
	var list openai.ModelList
	require.NoError(t, json.Unmarshal([]byte(g.body), &list))
	require.Len(t, list.Data, 2, "model local is not permitted on the targets of this workspace")
}

func TestExplainNamesTargetAndExclusions(t *testing.T) {
	f := start(t)
	e, err := f.entry.Explain(ExplainRequest{Workspace: "d1only", Model: "review"})
	require.NoError(t, err)
	require.Equal(t, "e1", e.Chosen)
	require.Equal(t, "workspace domain=d1", e.Targets[1].Rule)
	f.snapshot.Reports = map[string]control.Report{"e1": {Status: engine.Status{Role: engine.RolePrefill}}}
	e, err = f.entry.Explain(ExplainRequest{Workspace: "d1only", Model: "review"})
	require.NoError(t, err)
	require.Empty(t, e.Chosen)
	require.Contains(t, e.Targets[0].Rule+e.Targets[1].Rule, "role is prefill")
	_, err = f.entry.Explain(ExplainRequest{Workspace: "w"})
	require.ErrorContains(t, err, "remedy")
	require.Zero(t, f.engineRuns())
}

func TestKeyedRequestRunsOnceAndIsReplayed(t *testing.T) {
	f := start(t)
	for _, stream := range []bool{false, true} {
		key := fmt.Sprint("k", stream)
		before := f.engineRuns()
		first := f.chat("review", stream, HeaderKey, key)
		second := f.chat("review", stream, HeaderKey, key)
		require.Equal(t, 200, first.status, first.body)
		require.Equal(t, first.body, second.body)
		require.Equal(t, "true", second.header.Get(HeaderReplayed))
		require.Equal(t, before+1, f.engineRuns())
		other := f.chat("review", stream, HeaderKey, key, HeaderWorkspace, "d1only")
		require.Equal(t, 200, other.status, "idempotency keys are scoped to the workspace")
		reused := f.do(http.MethodPost, pathChat, `{"model": "review", "messages": [{"role": "user", "content": "else"}]}`, HeaderKey, key)
		require.Equal(t, codeKeyMismatch, reused.code(t))
	}
}

func TestKeyedRequestThatDidNotRunCanBeResent(t *testing.T) {
	f := start(t)
	f.engineFaults(engined.Faults{Refuse: true})
	g := f.chat("review", false, HeaderKey, "k")
	require.Equal(t, "not_run", g.header.Get(HeaderOutcome))
	f.engineFaults(engined.Faults{})
	require.Equal(t, 200, f.chat("review", false, HeaderKey, "k").status)
	require.Equal(t, 1, f.engineRuns())
}

func TestKeyedRequestWithUnknownOutcomeIsNeverNotRun(t *testing.T) {
	f := start(t)
	lost := claims.Claim{Key: "w\x00k", Claimant: "c", Digest: "d", Process: "crashed/1", Epoch: 1}
	body := `{"model": "review", "messages": [{"role": "user", "content": "hi"}]}`
	lost.Digest = (&call{method: http.MethodPost, uri: pathChat, body: []byte(body)}).digest()
	require.Equal(t, claims.Granted, f.claims.Claim(lost).Verdict)
	g := f.do(http.MethodPost, pathChat, body, HeaderKey, "k")
	require.Equal(t, codeUnknown, g.code(t))
	require.Equal(t, "unknown", g.header.Get(HeaderOutcome))
	require.Zero(t, f.engineRuns())
}

func TestWithdrawalMissedByHolderFreesKey(t *testing.T) {
	f := start(t)
	stale := claims.Claim{Key: "w\x00k", Claimant: "c", Process: "entry/1", Epoch: 1}
	body := `{"model": "review", "messages": [{"role": "user", "content": "hi"}]}`
	stale.Digest = (&call{method: http.MethodPost, uri: pathChat, body: []byte(body)}).digest()
	require.Equal(t, claims.Granted, f.claims.Claim(stale).Verdict)
	f.entry.outcomes.withdraw("c")
	require.Equal(t, 200, f.do(http.MethodPost, pathChat, body, HeaderKey, "k").status)
	require.Equal(t, 1, f.engineRuns())
}

func TestConcurrentKeyedRequestsRunOnce(t *testing.T) {
	f := start(t)
	var wg sync.WaitGroup
	for range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g := f.chat("review", true, HeaderKey, "k")
			require.Contains(t, []int{200, http.StatusConflict}, g.status, g.body)
			require.NotEqual(t, "not_run", g.header.Get(HeaderOutcome))
		}()
	}
	wg.Wait()
	require.Equal(t, 1, f.engineRuns())
}

func TestLongPromptIsPrefilledByPrefillEngine(t *testing.T) {
	f := startWith(t, 4)
	f.engines[0].SetRole(engine.RolePrefill)
	f.snapshot.Reports = map[string]control.Report{"e0": {Status: engine.Status{Role: engine.RolePrefill}}}
	body := fmt.Sprintf(`{"model": "review", "stream": true, "max_tokens": 6, "messages": [{"role": "user", "content": %q}]}`, strings.Repeat("word ", 600))
	send := func() got { return f.do(http.MethodPost, pathChat, body) }
	g := send()
	out, done := text(t, g.body)
	require.True(t, done, g.body)
	require.Equal(t, answer.Text(strings.Repeat("word ", 600), 6), out)
	require.Equal(t, openai.PhasePrefill, f.engines[0].Runs()[0].Phase)
	require.Empty(t, f.engines[1].Runs()[0].Phase)

	f.engines[0].SetFaults(engined.Faults{CutBeforeHeaders: true})
	_, done = text(t, send().body)
	require.True(t, done, "if separate prefill fails, the target of the request prefills the prompt")
	require.Len(t, f.engines[1].Runs(), 2)
}

func TestResponseLengthIsLearned(t *testing.T) {
	f := start(t)
	require.Equal(t, defaultOutputTokens, f.entry.lengths.estimate("w", "notes"))
	require.Equal(t, 200, f.chat("notes", true).status)
	require.Equal(t, 7, f.entry.lengths.estimate("w", "notes"), "6 text events and the event with the finish reason")
	require.Equal(t, defaultOutputTokens, f.entry.lengths.estimate("w", "review"))
}

// A stream is interrupted after a new configuration has excluded the only other
// engine. The stream must not be resumed there.
func TestRetryUsesNewestConfiguration(t *testing.T) {
	f := start(t)
	f.engines[0].SetFaults(engined.Faults{NoResponse: true})
	before := f.current()
	busy := *before
	busy.PeerLoads = map[string]routing.Load{"e1": {Requests: 3}}
	f.set(&busy)
	responses := make(chan got)
	go func() { responses <- f.chat("notes", true) }()
	require.Eventually(t, func() bool { return len(f.engines[0].Runs()) == 1 }, 5*time.Second, time.Millisecond)
	narrow := *before
	narrow.Revision++
	cfg := *before.Config.Config
	cfg.Models = slices.Clone(cfg.Models)
	cfg.Models[1].Selector = "domain=d0"
	var err error
	narrow.Config, err = config.Compile(&cfg)
	require.NoError(t, err)
	f.set(&narrow)
	f.engines[0].Close() // interrupts the request
	g := <-responses
	require.Equal(t, codeUnknown, g.code(t))
	require.Empty(t, f.engines[1].Runs())
}

func TestInternalHeadersOfClientsAreNotForwarded(t *testing.T) {
	f := start(t)
	g := f.chat("review", false, openai.PhaseHeader, openai.PhasePrefill, openai.KVHeader, "x", openai.ResumeHeader, "3", openai.AttemptHeader, "y")
	require.Contains(t, g.body, answer.Text("hello", 6))
}
