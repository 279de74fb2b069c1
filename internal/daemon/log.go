package daemon

import (
	"io"
	stdlog "log"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/settings"
)

// NewLogger returns the logger that the settings ask for. It writes to standard
// error and is safe for concurrent use.
func NewLogger(s settings.Log) log.Logger {
	w := log.NewSyncWriter(os.Stderr)
	logger := log.NewLogfmtLogger(w)
	if s.Format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// discardLog silences the HTTP server's own log of bad input, which callers can
// provoke at will and which the metrics count.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
