package batchserver

import (
	"errors"
	"log/slog"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
)

// rejectionAttributes returns the attributes of the log line of a call that failed. If a read of the
// store has failed, they tell what its last attempt met.
func rejectionAttributes(job string, status int, err error) []slog.Attr {
	attributes := []slog.Attr{slog.String("job", job), slog.Int("status", status), slog.Any("error", err)}
	if job != "" {
		attributes = append(attributes, slog.Int("part", batchkeeper.PartOf(job)))
	}
	var read *batchkeeper.ReadError
	if !errors.As(err, &read) {
		return attributes
	}
	return append(attributes, slog.String("table", read.Table()), slog.Int("attempts", read.Attempts()),
		slog.Duration("lastTook", read.LastTook()), slog.String("outcome", string(read.Outcome())),
		slog.Int("bytes", read.ResponseBytes()))
}
