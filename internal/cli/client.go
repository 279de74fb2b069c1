package cli

import (
	"bytes"
	"encoding/json"
	"io"
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
)

const (
	clientTimeout = 30 * time.Second
	maxAnswer     = 128 << 20
	defaultAdmin  = "127.0.0.1:7001"
)

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

// changeQuery carries who changes the configuration and why.
func changeQuery(c *cli.Context) url.Values {
	return url.Values{"author": {c.String("author")}, "note": {c.String("note")}}
}

// call sends one call to the admin API and decodes its answer into out.
func call(c *cli.Context, method, path string, q url.Values, body []byte, out any) (http.Header, error) {
	u := url.URL{Scheme: "http", Host: c.String("admin"), Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(c.Context, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "admin address is wrong", "give an IP number and port with --admin")
	}
	client := http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil && (method == http.MethodGet || errors.Is(err, syscall.ECONNREFUSED)) {
		return nil, fault.Wrap(err, fault.Unavailable, "no answer", "check --admin, or name another entry process")
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Unknown, "no answer to the change", "see rockdoor config history before repeating it")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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
		return nil, fault.Wrap(err, fault.Internal, "answer cannot be read", "use the same version of rockdoor as the fleet")
	}
	return resp.Header, nil
}

// remoteError turns an error answer back into the error that it was made from.
func remoteError(status int, data []byte) error {
	var e admin.ErrorBody
	if json.Unmarshal(data, &e) != nil || e.Kind == "" {
		return fault.Newf(fault.Internal, "check --admin", "entry process answered with status code %d", status)
	}
	if len(e.Problems) > 0 {
		return e.Problems.Err()
	}
	return fault.New(e.Kind, e.Message, "")
}
