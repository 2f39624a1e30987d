package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const (
	// strongShare and weakShare are the CPU shares of the machines of the grown installations.
	strongShare, weakShare = "0.8", "0.192"
	// requestInterval is the time between two requests of a strong node for the ownership, keepTime the time
	// for which a weak owner keeps it.
	requestInterval = 2 * time.Second
	keepTime        = 3 * time.Second
	// darkTime is the time for which a node that was killed is dark: for_s of such a node_kill is 3.5 s.
	darkTime = 3200 * time.Millisecond
	// waveLead is the time from the operator's request for a wave to the first orders, and a little more.
	waveLead = 450 * time.Millisecond
)

// ownerNode returns the node that the newest record of the ownership names.
func (t *trial) ownerNode() string {
	var o struct {
		Node     string `json:"node"`
		Resigned bool   `json:"resigned"`
		Next     string `json:"next"`
	}
	if json.Unmarshal(t.store.Newest("keyed.jobs", "owner"), &o) != nil {
		return ""
	}
	if o.Resigned {
		return o.Next
	}
	return o.Node
}

// requestOffset returns the offset of the newest record of a node, or -1.
func (t *trial) requestOffset(n *node) int64 {
	resp, err := http.Get("http://" + t.storeAddress + "/log-newest?topic=keyed.jobs&part=0&depends_on=n")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Offset int64  `json:"offset"`
		} `json:"items"`
	}
	if json.NewDecoder(resp.Body).Decode(&page) != nil {
		return -1
	}
	for _, item := range page.Items {
		if item.Key == "n/"+n.name {
			return item.Offset
		}
	}
	return -1
}

// turnsCase: a weak owner hands over to a strong node while its orders to machines are on their way.
func turnsCase(t *trial) {
	t.configureOne()
	// The wave takes 0.47 of the machines; as many orders a second as on the grown installations.
	c := newCloud(t, 200, 94, 60)
	t.ordersPerSecond = "215"
	t.machinesAddress = c.address
	t.shares = []string{strongShare, weakShare, weakShare}
	t.startNodes(3)
	strong := t.nodes[0]
	time.Sleep(4 * time.Second)
	if !t.trouble {
		c.request()
		time.Sleep(15 * time.Second)
		c.conclude()
		t.verdict = c.turns
		return
	}
	t.rec.note("kill", "node", strong.name)
	t.kill(strong)
	killedAt := time.Now()
	t.waitFor("weak owner", func() bool { o := t.ownerNode(); return o != "" && o != strong.name })
	ownedAt := time.Now()
	t.rec.note("owner", "node", t.ownerNode())
	time.Sleep(darkTime - time.Since(killedAt))
	t.startAgain(strong)
	t.rec.note("up", "node", strong.name)
	c.slow.Store(true)
	// The strong node writes its record at its start, and again with each request.
	// The weak owner follows the first one that comes after it has had the ownership for keepTime.
	record, requestedAt := int64(-1), time.Now()
	for next := requestedAt; next.Sub(ownedAt) < keepTime || time.Until(next) > waveLead; next = requestedAt.Add(requestInterval) {
		if o := t.ownerNode(); o == strong.name {
			unable("the strong node has the ownership already")
		}
		if r := t.requestOffset(strong); r != record {
			record, requestedAt = r, time.Now()
			t.rec.note("request", "node", strong.name, "offset", r)
		}
		time.Sleep(2 * time.Millisecond)
	}
	c.request()
	time.Sleep(12 * time.Second)
	t.rec.note("owner", "node", t.ownerNode())
	c.conclude()
	t.verdict = c.turns
}
