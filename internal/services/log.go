package services

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sardinehead/sardinehead/internal/record"
	"github.com/sardinehead/sardinehead/internal/vocab"
)

// LogClient calls the log service over HTTP. It implements Log.
type LogClient struct {
	caller caller
}

// NewLogClient returns a client of the log service at base, such as
// "http://10.0.0.9:9100".
func NewLogClient(base string) *LogClient {
	return &LogClient{caller: newCaller(base)}
}

// Append implements Log.
func (c *LogClient) Append(ctx context.Context, stream vocab.StreamID, records []record.Envelope) (vocab.Offset, error) {
	var answer AppendResponse
	err := c.caller.call(ctx, http.MethodPost, recordsPath(stream), AppendRequest{Records: records}, &answer, 0)
	return vocab.Offset(answer.First), err
}

// Read implements Log.
func (c *LogClient) Read(ctx context.Context, stream vocab.StreamID, from vocab.Offset, wait time.Duration) (Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait", wait.String())
	var batch Batch
	err := c.caller.call(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil, &batch, wait)
	return batch, err
}

func recordsPath(stream vocab.StreamID) string {
	return PathStreams + url.PathEscape(string(stream)) + "/records"
}
