package daemon

import (
	"io"
	stdlog "log"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/settings"
)

// NewLogger returns a logger with the format and level of the settings. It writes to
// standard error and is safe for concurrent use.
func NewLogger(s settings.Log) log.Logger {
	w := log.NewSyncWriter(os.Stderr)
	logger := log.NewLogfmtLogger(w)
	if s.Format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}

// discardLog returns a logger that discards everything. It replaces the HTTP server's
// log of malformed input, which any client could flood. Metrics count such input.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
