package rawserver

import (
	"fmt"
	"strconv"
	"strings"
)

// Response is the text of a response, in which HEAD stands for further header fields, BODY for
// its body, LEN for the length of that, and CHUNKS for the body in chunks, without the last one.
type Response string

// Sound is a valid response.
const Sound Response = "HTTP/1.1 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY"

// With returns the response with a body and with header fields, each of which ends with CRLF.
func (r Response) With(head, body string) string {
	chunks := ""
	if body != "" {
		chunks = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return strings.NewReplacer("HEAD", head, "BODY", body, "LEN", strconv.Itoa(len(body)), "CHUNKS", chunks).Replace(string(r))
}

// BrokenOff are responses whose connection ends before their end.
var BrokenOff = []Response{
	"HTTP/1.1 200 OK\r\nHEADContent-Length: 9LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\nName: x\r\n",
}

// InvalidTrailers are responses with invalid fields in their trailers.
var InvalidTrailers = []Response{
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\nBad Name: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\nBad\x01Name: x\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\nName: \x01\r\n\r\n",
}

// InvalidFields are responses with invalid fields in their heads or in those of interim
// responses, most of them with names that aren't tokens.
var InvalidFields = []Response{
	"HTTP/1.1 200 OK\r\nHEADBad Name: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADName : x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length : 2\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding : chunked\r\n\r\nCHUNKS0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 103 Early Hints\r\nName : x\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADBad\x01Name: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADBad\tName: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADBad\x00Name: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADBad\x7fName: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADBad\xe9Name: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADBad\rName: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADBad(Name): x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEAD: x\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADno colon\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\n Name: x\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADName: a\x01b\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADName: a\x00b\r\nContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADName: a\rb\r\nContent-Length: LEN\r\n\r\nBODY",
}

// InvalidStatuses are responses whose status isn't a number from 100 to 599, or is one of a
// switch of protocols that was not asked for.
var InvalidStatuses = []Response{
	"HTTP/1.1 000 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 099 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 +20 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 -20 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 600 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 999 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 2000 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 20 None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 2OO None\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1  \r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 101 Switching Protocols\r\nHEADUpgrade: x\r\nConnection: Upgrade\r\n\r\nBODY",
}

// InvalidStatusLines are responses with invalid versions or reasons.
var InvalidStatusLines = []Response{
	"HTTP/2.0 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/0.9 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"http/1.1 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/2.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 O\x01K\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 O\x00K\r\nHEADContent-Length: LEN\r\n\r\nBODY",
	"HTTP/1.1 200 O\rK\r\nHEADContent-Length: LEN\r\n\r\nBODY",
}

// InvalidFramings are responses whose body is delimited in an invalid way.
var InvalidFramings = []Response{
	"HTTP/1.0 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nHEADTransfer-Encoding: chunked\r\nContent-Length: LEN\r\n\r\nCHUNKS0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\nContent-Length: LEN\r\n\r\nCHUNKS0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: gzip\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding:\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length: LEN, LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length: LEN\r\nContent-Length: 1LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length: +LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length: -LEN\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length: LENx\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length:\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADContent-Length: 99999999999999999999\r\n\r\nBODY",
}

// InvalidChunks are responses with invalid chunks.
var InvalidChunks = []Response{
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n-CHUNKS0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n CHUNKS0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n0xCHUNKS0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKSx0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\nCHUNKS0\n\r\n",
}

// cutHeads are the heads of which CutHeads returns beginnings.
var cutHeads = []Response{
	"HTTP/1.1 200 OK\r\nHEADContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADConnection: close\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADName: x\r\n folded\r\n\r\n",
	"HTTP/1.0 200 OK\r\nHEADName: x\n\n",
	"HTTP/1.1 103 Early Hints\r\nName: x\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nHEADContent-Type: text/event-stream\r\n\r\n",
}

// CutHeads returns beginnings of heads with these header fields: each one that ends within the
// first or the last edge bytes, and each step-th one between.
func CutHeads(fields string, edge, step int) []string {
	var cut []string
	for _, head := range cutHeads {
		text := head.With(fields, "")
		for end := range len(text) {
			if end < edge || end >= len(text)-edge || end%step == 0 {
				cut = append(cut, text[:end])
			}
		}
	}
	return cut
}
