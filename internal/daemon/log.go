package daemon

import (
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
