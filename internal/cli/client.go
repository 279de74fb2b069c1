package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/admin"
	"github.com/rockdoor/rockdoor/internal/responsehead"
	"github.com/rockdoor/rockdoor/internal/tcpreset"
)

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 128 << 20
	defaultAdmin     = "127.0.0.1:7001"
)

var transport = &http.Transport{Proxy: http.ProxyFromEnvironment, DialContext: tcpreset.Dial(&net.Dialer{})}

func adminFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "admin", Usage: "admin `ADDRESS` of any entry process", Value: defaultAdmin, EnvVars: []string{"ROCKDOOR_ADMIN"},
	}
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		adminFlag(),
		&cli.StringFlag{Name: "note", Aliases: []string{"m"}, Usage: "why the change is made"},
		&cli.StringFlag{Name: "author", Usage: "who makes the change", Value: currentUser(), DefaultText: "the user's name"},
	}
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

// changeQuery returns the query parameters with the author and the note of a change.
func changeQuery(c *cli.Context) url.Values {
	return url.Values{"author": {c.String("author")}, "note": {c.String("note")}}
}

// call sends a request to the admin API and decodes the response into out, unless out is
// nil.
func call(c *cli.Context, method, path string, q url.Values, body []byte, out any) (http.Header, error) {
	u := url.URL{Scheme: "http", Host: c.String("admin"), Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(c.Context, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "admin address is invalid", "give an IP address and port with --admin")
	}
	client := http.Client{Timeout: clientTimeout, Transport: responsehead.Transport{Base: transport}}
	resp, err := client.Do(req)
	if err != nil && (method == http.MethodGet || errors.Is(err, syscall.ECONNREFUSED)) {
		return nil, fault.Wrap(err, fault.Unavailable, "no answer", "check --admin, or name another entry process")
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Unknown, "no response to the change", "see rockdoor config history before repeating it")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.Unknown, "answer was cut", "see rockdoor config history before repeating a change")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, remoteError(resp.StatusCode, data)
	}
	if out == nil {
		return resp.Header, nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "response cannot be decoded", "use the same version of rockdoor as the fleet")
	}
	return resp.Header, nil
}

// remoteError restores the error from which an error response was made.
func remoteError(status int, data []byte) error {
	var e admin.ErrorBody
	if json.Unmarshal(data, &e) != nil || e.Kind == "" {
		return fault.Newf(fault.Internal, "check --admin", "entry process returned HTTP status %d", status)
	}
	if len(e.Problems) > 0 {
		return e.Problems.Err()
	}
	return fault.New(e.Kind, e.Message, "")
}
