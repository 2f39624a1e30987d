package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardinehead/sardinehead/internal/jobpeer/jobpeerpb"
	"github.com/sardinehead/sardinehead/internal/peer/peerpb"
	"github.com/sardinehead/sardinehead/platform/standin"
)

const (
	// crowdSize is the number of connections that send bodies of bodyBytes. One in completeEvery sends
	// its whole request, the others stop just short of its end and stay open.
	crowdSize     = 400
	bodyBytes     = 256 << 10
	completeEvery = 8
	// entryCrowdSize is crowdSize for an entry process, which has more memory.
	entryCrowdSize = 1000
	// connectionCrowdSize is the number of connections that exhaust the descriptors of a process.
	connectionCrowdSize = 1200
	// completeCrowdSize is the number of clients that send whole bodies of maxBodyBytes.
	completeCrowdSize = 16
	// maxBodyBytes is the size of the largest legal body. farOverBytes is the size announced by
	// bodies far over the limit, sentFarOverBytes what is sent of them.
	maxBodyBytes     = 1 << 20
	farOverBytes     = 64 << 20
	sentFarOverBytes = 4 << 20
	// entryBufferedBytes is the size of the largest request that an entry process buffers.
	entryBufferedBytes = 64 << 10
	// passedOnBytes is the size of the payload of a job that a node passes on.
	passedOnBytes = 200 << 10
	// largeChunk and tinyChunk are the sizes of the chunks of chunked bodies.
	largeChunk = 32 << 10
	tinyChunk  = 16
	// pieceBytes is the size of the pieces in which a client sends what it does not send whole.
	pieceBytes = 4 << 10
	// piecePause and bytePause are the pauses between two pieces and two bytes.
	piecePause = 10 * time.Millisecond
	bytePause  = 40 * time.Millisecond
	// unfinishedHeader is the start of a header.
	unfinishedHeader = "GET / HTTP/1.1\r\nHost: " + standin.Host + "\r\nX-Pad: "
	// steadyTime is the time without a new peak of memory after which a crowd counts as received.
	steadyTime = time.Second
)

// client is what a client of a crowd sends: a header and a body in pieces of a size, with pauses, then nothing.
type client struct {
	header, body string
	piece        int
	pause        time.Duration
}

// sendTo sends until the connection is closed or all is sent.
func (c client) sendTo(conn net.Conn) {
	for _, rest := range []string{c.header, c.body} {
		for rest != "" {
			n := min(c.piece, len(rest))
			if _, err := io.WriteString(conn, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			time.Sleep(c.pause)
		}
	}
}

// send sends crowds of clients to an address at once and holds their connections open. hold is called
// once all is received.
func (p *process) send(address string, count int, of func(i int) client, hold func()) {
	p.t.Helper()
	var mu sync.Mutex
	var open []net.Conn
	var senders sync.WaitGroup
	for i := range count {
		senders.Go(func() {
			conn := dial(address)
			if conn == nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			of(i).sendTo(conn)
		})
	}
	senders.Wait()
	p.waitSteady()
	hold()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// waitSteady waits until the peak of the process's memory no longer grows.
func (p *process) waitSteady() {
	p.t.Helper()
	peak, since, end := 0, time.Now(), time.Now().Add(answerTimeout)
	for time.Since(since) < steadyTime && time.Now().Before(end) {
		p.CheckRunning(p.t)
		if now := p.peakKiB(); now > peak {
			peak, since = now, time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// expectSurvives sends a crowd, and expects that ordinary requests are served beside and after it and that the
// process stays within its limits.
func (p *process) expectSurvives(address string, count int, of func(i int) client) {
	p.t.Helper()
	p.send(address, count, of, func() { p.expectServed("while the crowd is held open") })
	p.expectServed("after the crowd")
	p.expectWithinLimits()
}

// post returns the header of a request that submits a job with a line for the size of its body.
func post(i int, sizeLine string) string {
	return postTo(fmt.Sprintf("%s%016x", standin.Prefix, 0xc000+i), standin.Host, "Api-Key: "+standin.Key, sizeLine)
}

func postTo(path, host, keyLine, sizeLine string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\nContent-Type: application/json\r\n%s\r\n\r\n", path, host, keyLine, sizeLine)
}

const chunkedLine = "Transfer-Encoding: chunked"

func lengthLine(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// jobBody returns the body of a request that submits a job, filled up to a size with spaces.
func jobBody(size int) string {
	const start, end = `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":50}]`, "}"
	return start + strings.Repeat(" ", size-len(start)-len(end)) + end
}

// chunked encodes a body in chunks of a size.
func chunked(body string, size int) string {
	var b strings.Builder
	for body != "" {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// cutShort leaves out the last bytes of a body, except for one client in completeEvery.
func cutShort(i int, body string, left int) string {
	if i%completeEvery == 0 {
		return body
	}
	return body[:len(body)-left]
}

// lastChunkBytes is the size of the end of a chunked body.
const lastChunkBytes = len("0\r\n\r\n")

// TestBodiesHeldOpenExhaustMemory: bodies of legal size that stop one byte short of their end.
func TestBodiesHeldOpenExhaustMemory(t *testing.T) {
	body := jobBody(bodyBytes)
	for name, sent := range map[string]client{
		"whole":  {piece: bodyBytes},
		"pieces": {piece: pieceBytes, pause: piecePause},
	} {
		t.Run(name, func(t *testing.T) {
			p := startServe(t, newSite(t), "n1")
			p.expectSurvives(p.callers, crowdSize, func(i int) client {
				sent.header, sent.body = post(i, lengthLine(bodyBytes)), cutShort(i, body, 1)
				return sent
			})
		})
	}
}

// TestLargeChunksHeldOpenExhaustMemory: chunked bodies without their last chunk.
func TestLargeChunksHeldOpenExhaustMemory(t *testing.T) { testChunks(t, largeChunk) }

// TestTinyChunksHeldOpenExhaustMemory: the same in very small chunks.
func TestTinyChunksHeldOpenExhaustMemory(t *testing.T) { testChunks(t, tinyChunk) }

func testChunks(t *testing.T, chunk int) {
	body := chunked(jobBody(bodyBytes), chunk)
	p := startServe(t, newSite(t), "n1")
	p.expectSurvives(p.callers, crowdSize, func(i int) client {
		return client{header: post(i, chunkedLine), body: cutShort(i, body, lastChunkBytes), piece: len(body)}
	})
}

// TestBodiesAnnouncedFarOverLimitExhaustMemory: most clients stop just short of the limit of a legal body.
func TestBodiesAnnouncedFarOverLimitExhaustMemory(t *testing.T) {
	body := jobBody(sentFarOverBytes)
	p := startServe(t, newSite(t), "n1")
	p.expectSurvives(p.callers, crowdSize, func(i int) client {
		return client{header: post(i, lengthLine(farOverBytes)), body: cutShort(i, body, len(body)-maxBodyBytes+1), piece: pieceBytes}
	})
}

// TestBodiesSentFarOverLimitExhaustMemory: nothing announces the size of the bodies.
func TestBodiesSentFarOverLimitExhaustMemory(t *testing.T) {
	body := chunked(jobBody(sentFarOverBytes), largeChunk)
	p := startServe(t, newSite(t), "n1")
	p.expectSurvives(p.callers, crowdSize, func(i int) client {
		return client{header: post(i, chunkedLine), body: cutShort(i, body, lastChunkBytes), piece: pieceBytes}
	})
}

// TestBodiesOfTinyStepsExhaustMemory: bodies of legal size that decode to many times their size.
func TestBodiesOfTinyStepsExhaustMemory(t *testing.T) {
	const start, step, end = `{"spec":"x","steps":[{"count":1}`, `,{}`, `]}`
	body := start + strings.Repeat(step, (maxBodyBytes-len(start)-len(end))/len(step)) + end
	p := startServe(t, newSite(t), "n1")
	p.expectSurvives(p.callers, completeCrowdSize, func(i int) client {
		return client{header: post(i, lengthLine(len(body))), body: body, piece: len(body)}
	})
}

// TestIdleConnectionsExhaustDescriptors: connections that send nothing after their request.
func TestIdleConnectionsExhaustDescriptors(t *testing.T) {
	p := startServe(t, newSite(t), "n1")
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\n\r\n", standin.Prefix, standin.Host, standin.Key)
	p.expectSurvives(p.callers, connectionCrowdSize, func(int) client { return client{header: request, piece: len(request)} })
}

// TestSilentConnectionsExhaustDescriptors: connections that never send anything.
func TestSilentConnectionsExhaustDescriptors(t *testing.T) {
	p := startServe(t, newSite(t), "n1")
	p.expectSurvives(p.callers, connectionCrowdSize, func(int) client { return client{} })
}

// TestLongHeadersHeldOpenExhaustMemory: headers just below the size that net/http refuses by default,
// without their end.
func TestLongHeadersHeldOpenExhaustMemory(t *testing.T) {
	header := unfinishedHeader + strings.Repeat("x", http.DefaultMaxHeaderBytes-len(unfinishedHeader))
	p := startServe(t, newSite(t), "n1")
	p.expectSurvives(p.callers, crowdSize, func(int) client { return client{header: header, piece: len(header)} })
}

// TestHeadersSentByteByByteExhaustDescriptors: headers that take longer than any that a caller sends.
func TestHeadersSentByteByByteExhaustDescriptors(t *testing.T) {
	p := startServe(t, newSite(t), "n1")
	p.expectSurvives(p.callers, connectionCrowdSize, func(int) client {
		return client{header: unfinishedHeader + strings.Repeat("x", 64), piece: 1, pause: bytePause}
	})
}

// TestPeersPortBodiesExhaustMemory: bodies on the port for other nodes, short of their end.
func TestPeersPortBodiesExhaustMemory(t *testing.T) {
	path := "/p/" + strings.TrimPrefix(jobpeerpb.JobsPathPrefix, "/twirp/") + "Pass"
	header := func(sizeLine string) string {
		return strings.Replace(postTo(path, "node", "X-Pad: x", sizeLine), "application/json", "application/protobuf", 1)
	}
	legal := strings.Repeat("x", bodyBytes)
	for name, sent := range map[string]client{
		"announced": {header: header(lengthLine(bodyBytes)), body: legal},
		"chunked":   {header: header(chunkedLine), body: chunked(legal, largeChunk)},
		"far over":  {header: header(lengthLine(farOverBytes)), body: strings.Repeat("x", sentFarOverBytes)},
	} {
		t.Run(name, func(t *testing.T) {
			p := startServe(t, newSite(t), "n1")
			p.expectSurvives(p.peers, crowdSize, func(i int) client {
				return client{header: sent.header, body: cutShort(i, sent.body, lastChunkBytes), piece: largeChunk}
			})
		})
	}
}

// otherPorts are the ports that take no jobs, with a path on each.
var otherPorts = map[string]struct {
	address func(*process) string
	path    string
}{
	"operators": {func(p *process) string { return p.operators }, "/config"},
	"readiness": {func(p *process) string { return p.readiness }, "/readiness"},
	"peers":     {func(p *process) string { return p.peers }, "/"},
}

// TestBodiesOnOtherPorts: bodies where no request has one.
func TestBodiesOnOtherPorts(t *testing.T) {
	body := strings.Repeat("x", bodyBytes)
	for name, port := range otherPorts {
		t.Run(name, func(t *testing.T) {
			p := startServe(t, newSite(t), "n1")
			header := "GET " + port.path + " HTTP/1.1\r\nHost: node\r\n" + lengthLine(bodyBytes) + "\r\n\r\n"
			p.expectSurvives(port.address(p), crowdSize, func(i int) client {
				return client{header: header, body: cutShort(i, body, 1), piece: bodyBytes}
			})
		})
	}
}

// TestIdleConnectionsOnOtherPortsExhaustDescriptors: connections that send nothing after their request.
func TestIdleConnectionsOnOtherPortsExhaustDescriptors(t *testing.T) {
	for name, port := range otherPorts {
		t.Run(name, func(t *testing.T) {
			p := startServe(t, newSite(t), "n1")
			header := "GET " + port.path + " HTTP/1.1\r\nHost: node\r\n\r\n"
			p.expectSurvives(port.address(p), connectionCrowdSize, func(int) client { return client{header: header, piece: len(header)} })
		})
	}
}

// TestPassedOnBodiesExhaustMemory: large jobs that a node passes on to the owner.
func TestPassedOnBodiesExhaustMemory(t *testing.T) {
	body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":50}]}`, strings.Repeat("x", passedOnBytes))
	site := newSite(t)
	nodes := []*process{startServe(t, site, "n1"), startServe(t, site, "n2")}
	// Either one may be the owner.
	for i, p := range nodes {
		p.send(p.callers, crowdSize, func(j int) client {
			return client{header: post(i*crowdSize+j, lengthLine(len(body))), body: body, piece: len(body)}
		}, func() {
			for _, other := range nodes {
				other.expectServed("while the crowd is held open")
			}
		})
	}
	for _, p := range nodes {
		p.expectServed("after the crowd")
	}
	for _, p := range nodes {
		p.expectWithinLimits()
	}
}

// entryDocument returns the largest document of a task that an entry process takes.
func entryDocument() string {
	const start, end = `{"path":"/x","size":{"milli_cpu":1,"memory_bytes":1},"run_time":"1s","body":"`, `"}`
	return start + strings.Repeat("x", bodyBytes-len(start)-len(end)) + end
}

// testEntryBodies sends bodies to the callers' port of an entry process, most of them short of their end.
func testEntryBodies(t *testing.T, path, sizeLine, body string) {
	p, key := startEntry(t)
	p.expectSurvives(p.callers, entryCrowdSize, func(i int) client {
		return client{
			header: postTo(path, "h", "Authorization: "+key, sizeLine),
			body:   cutShort(i, body, lastChunkBytes), piece: largeChunk,
		}
	})
}

const (
	entryTasks    = "/v1/" + entryQueue + "/tasks"
	entryRequests = "/v1/" + entryQueue + "/orders"
)

// TestEntryTasksHeldOpen: documents of tasks that stop short of their end.
func TestEntryTasksHeldOpen(t *testing.T) {
	document := entryDocument()
	t.Run("announced", func(t *testing.T) { testEntryBodies(t, entryTasks, lengthLine(len(document)), document) })
	t.Run("large chunks", func(t *testing.T) { testEntryBodies(t, entryTasks, chunkedLine, chunked(document, largeChunk)) })
	t.Run("tiny chunks", func(t *testing.T) { testEntryBodies(t, entryTasks, chunkedLine, chunked(document, tinyChunk)) })
}

// TestEntryTasksFarOverLimit: documents of tasks far over the limit, announced or just sent.
func TestEntryTasksFarOverLimit(t *testing.T) {
	body := strings.Repeat("x", sentFarOverBytes)
	t.Run("announced", func(t *testing.T) { testEntryBodies(t, entryTasks, lengthLine(farOverBytes), body) })
	t.Run("sent", func(t *testing.T) { testEntryBodies(t, entryTasks, chunkedLine, chunked(body, largeChunk)) })
}

// TestEntryRequestsHeldOpen: requests that an entry process buffers, and requests that it streams.
func TestEntryRequestsHeldOpen(t *testing.T) {
	buffered := strings.Repeat("x", entryBufferedBytes)
	t.Run("buffered", func(t *testing.T) { testEntryBodies(t, entryRequests, lengthLine(len(buffered)), buffered) })
	t.Run("streamed", func(t *testing.T) {
		testEntryBodies(t, entryRequests, chunkedLine, chunked(entryDocument(), largeChunk))
	})
}

// TestEntryLongHeadersHeldOpenExhaustMemory: headers without their end.
func TestEntryLongHeadersHeldOpenExhaustMemory(t *testing.T) {
	p, _ := startEntry(t)
	header := unfinishedHeader + strings.Repeat("x", http.DefaultMaxHeaderBytes-len(unfinishedHeader))
	p.expectSurvives(p.callers, crowdSize, func(int) client { return client{header: header, piece: len(header)} })
}

// TestEntryIdleConnectionsExhaustDescriptors: connections that send nothing after their request.
func TestEntryIdleConnectionsExhaustDescriptors(t *testing.T) {
	const idle = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, address := range map[string]func(*process) string{
		"callers":   func(p *process) string { return p.callers },
		"operators": func(p *process) string { return p.operators },
		"peers":     func(p *process) string { return p.peers },
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := startEntry(t)
			p.expectSurvives(address(p), connectionCrowdSize, func(int) client { return client{header: idle, piece: len(idle)} })
		})
	}
}

// TestEntryPeersPortBodies: bodies on the port for other nodes, short of their end.
func TestEntryPeersPortBodies(t *testing.T) {
	p, _ := startEntry(t)
	header := strings.Replace(postTo(peerpb.PeerPathPrefix+"Exchange", "h", "X-Pad: x", lengthLine(bodyBytes)), "application/json", "application/protobuf", 1)
	body := strings.Repeat("x", bodyBytes)
	p.expectSurvives(p.peers, entryCrowdSize, func(i int) client {
		return client{header: header, body: cutShort(i, body, 1), piece: bodyBytes}
	})
}

// TestLargestLegalBodyIsServedInCalm: no limit refuses a single request inside the limits.
func TestLargestLegalBodyIsServedInCalm(t *testing.T) {
	p := startServe(t, newSite(t), "n1")
	body := jobBody(maxBodyBytes)
	for i, request := range []client{
		{header: post(0, lengthLine(len(body))), body: body, piece: len(body)},
		{header: post(1, chunkedLine), body: chunked(body, largeChunk), piece: pieceBytes},
		{header: post(2, chunkedLine), body: chunked(body, tinyChunk), piece: pieceBytes},
	} {
		conn := dial(p.callers)
		if conn == nil {
			t.Fatal("no connection")
		}
		request.sendTo(conn)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("request %d is answered with %d", i, resp.StatusCode)
		}
		_ = resp.Body.Close()
		_ = conn.Close()
	}
	p.expectWithinLimits()
}
