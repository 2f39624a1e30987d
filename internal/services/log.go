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
	api apiClient
}

// NewLogClient returns a client of the log service at a base URL such as
// "http://10.0.0.9:9100".
func NewLogClient(baseURL string) *LogClient {
	return &LogClient{api: newAPIClient(baseURL)}
}

// Append implements Log.
func (c *LogClient) Append(ctx context.Context, stream vocab.StreamID, records []record.Envelope) (vocab.Offset, error) {
	var response AppendResponse
	err := c.api.call(ctx, http.MethodPost, recordsPath(stream), AppendRequest{Records: records}, &response, 0)
	return vocab.Offset(response.First), err
}

// Read implements Log.
func (c *LogClient) Read(ctx context.Context, stream vocab.StreamID, from vocab.Offset, wait time.Duration) (Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("wait", wait.String())
	var batch Batch
	err := c.api.call(ctx, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil, &batch, wait)
	return batch, err
}

func recordsPath(stream vocab.StreamID) string {
	return PathStreams + url.PathEscape(string(stream)) + "/records"
}
