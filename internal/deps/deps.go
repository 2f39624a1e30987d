// Package deps keeps modules in go.mod while the code that uses them is written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/agnivade/levenshtein"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/btree"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/labstack/echo/v5"
	_ "github.com/oklog/run"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/twitchtv/twirp"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
