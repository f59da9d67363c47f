package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/olekukonko/tablewriter"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type memoryCommand struct {
	Entries int `long:"entries" default:"20000"`
}

// Execute fills a node with one kind of entry at a time and measures the heap
// bytes per entry.
func (c *memoryCommand) Execute([]string) error {
	table := tablewriter.NewWriter(os.Stdout)
	table.Header("entry", "count", "heap bytes each")
	for _, kind := range []struct {
		name string
		put  func(n *node.Node, i int)
	}{
		{"record", putRecord}, {"endpoint", putEndpoint}, {"member", putMember},
	} {
		n := node.New()
		before := heapBytes()
		for i := range c.Entries {
			kind.put(n, i)
		}
		each := float64(heapBytes()-before) / float64(c.Entries)
		runtime.KeepAlive(n)
		if err := table.Append(kind.name, c.Entries, fmt.Sprintf("%.0f", each)); err != nil {
			return err
		}
	}
	return table.Render()
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func putRecord(n *node.Node, i int) {
	name := fmt.Sprintf("organisation-%d", i)
	n.PutRecord(port.Record{
		Kind: port.ObjectOrganisationPriority, Name: name, Version: uint64(i + 1),
		Body: fmt.Appendf(nil, `{"schema_version":2,"kind":"organisation-priorities","name":%q,"spec":{"organisation":%q,"priority":3,"share":2,"limits":{"tokens_per_second":4000,"concurrency":64},"keys":[{"sha256":"%064d","name":"desk"}]}}`, name, name, i),
	})
}

func putEndpoint(n *node.Node, i int) {
	n.PutEndpoint(membership.Endpoint{Endpoint: port.Endpoint{
		ID: fmt.Sprintf("runner-%d", i), Kind: port.KindRunner, Pool: "pool-1",
		Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), FailureDomain: "kolkata-hall",
		Incarnation: uint64(i + 1), State: port.EndpointLive, Models: []string{fmt.Sprintf("model-%d", i%38)},
	}})
}

func putMember(n *node.Node, i int) {
	n.PutMember(membership.Member{
		ID: fmt.Sprintf("router-%d", i), Role: port.RoleRouter, Incarnation: uint64(i + 1),
		FailureDomain: "kolkata-hall", Host: fmt.Sprintf("10.1.%d.%d", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.1.%d.%d:7101", i/250, i%250),
		AdminAddress:  fmt.Sprintf("10.1.%d.%d:7102", i/250, i%250),
		PeerAddress:   fmt.Sprintf("10.1.%d.%d:7103", i/250, i%250),
		State:         port.MemberLive, Sequence: 7, DecidedBy: "keeper-1",
	})
}
