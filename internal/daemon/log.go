package daemon

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/settings"
)

// NewLogger returns a logger with the format and level of the settings, which writes to w. It is safe for concurrent use if w
// is.
func NewLogger(w io.Writer, s settings.Log) log.Logger {
	logger := log.NewLogfmtLogger(w)
	if s.Format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
