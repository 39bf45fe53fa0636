package upstream

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// strayHeads are beginnings of responses to no request.
var strayHeads = map[string]string{
	"503, not run":       "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nX-Cut: abcd\r\n",
	"421":                "HTTP/1.1 421 Misdirected Request\r\nX-Cut: abcd\r\n",
	"200":                "HTTP/1.1 200 OK\r\nX-Cut: abcd\r\n",
	"200, empty":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Cut: abcd\r\n",
	"204":                "HTTP/1.1 204 No Content\r\nX-Cut: abcd\r\n",
	"304":                "HTTP/1.1 304 Not Modified\r\nX-Cut: abcd\r\n",
	"closing":            "HTTP/1.1 503 X\r\nNot-Run: 1\r\nConnection: close\r\nX-Cut: abcd\r\n",
	"length last":        "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 12\r\n",
	"coding last":        "HTTP/1.1 503 X\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n",
	"trailer last":       "HTTP/1.1 503 X\r\nNot-Run: 1\r\nTrailer: X-Sum\r\n",
	"folded line":        "HTTP/1.1 503 X\r\nNot-Run: 1\r\nX-Cut: ab\r\n cd\r\n",
	"line feeds alone":   "HTTP/1.1 503 X\nNot-Run: 1\nX-Cut: abcd\n",
	"early hints":        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Cut: abcd\r\n",
	"HTTP/1.0":           "HTTP/1.0 503 X\r\nNot-Run: 1\r\nX-Cut: abcd\r\n",
	"without a reason":   "HTTP/1.1 503\r\nNot-Run: 1\r\nX-Cut: abcd\r\n",
	"other request's ID": "HTTP/1.1 503 X\r\nId: 0\r\nNot-Run: 1\r\nX-Cut: abcd\r\n",
}

// ownResponses are answers to the request with ID 1.
var ownResponses = []struct {
	name, head, framed string
	status             int
}{
	{"with a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n", "body", 200},
	{"in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", 200},
	{"in chunks, length first", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", 200},
	{"ended by the connection", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "body", 200},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", "body", 200},
	{"500", "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nContent-Length: 4\r\n\r\n", "body", 500},
	{"503, not run", "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n", "body", 503},
	{"more spaces", "HTTP/1.1  200  OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n", "body", 200},
	{"after early hints", "HTTP/1.1 103 Early Hints\r\nLink: </b>\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n", "body", 200},
}

// Guards against an answer that is read together with the beginning of another response, which a target
// has sent before it: the status, headers or framing of the stray part would count.
func TestBeginningOfAnotherResponseIsNotPartOfTheAnswer(t *testing.T) {
	for _, strayName := range slices.Sorted(maps.Keys(strayHeads)) {
		stray := strayHeads[strayName]
		for _, own := range ownResponses {
			want, err := readOne(own.head + own.framed)
			if err != nil || want.status != own.status || want.body != "body" {
				t.Fatalf("%s alone: %v, error %v", own.name, want, err)
			}
			for cut := 1; cut <= len(stray); cut++ {
				resp, err := readOne(stray[:cut] + own.head + own.framed)
				if err == nil && !reflect.DeepEqual(resp, want) {
					t.Errorf("%s, cut at %d of %d, before %s: status %d, header %v, body %q", strayName, cut, len(stray), own.name, resp.status, resp.header, resp.body)
				}
			}
		}
	}
}

// Guards against answers that are rejected although their headers only look like another response.
func TestHeadersMayNameAnHTTPVersion(t *testing.T) {
	for _, header := range []string{"Via: HTTP/1.1 proxy", "Upgrade: HTTP/2.0, SHTTP/1.3", "Server: HTTP/1.1", "X-Text: HTTP/1.1 20"} {
		resp, err := readOne(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nContent-Length: 4\r\n\r\nbody", header))
		if err != nil || resp.status != http.StatusOK {
			t.Errorf("%s: %v, error %v", header, resp, err)
		}
	}
}

// Guards against bodies that are taken for heads.
func TestBodyMayContainAResponse(t *testing.T) {
	body := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("HTTP/1.1 503 X\r\n", 1000)
	resp, err := readOne(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	if err != nil || resp.body != body {
		t.Errorf("%d of %d bytes, error %v", len(resp.body), len(body), err)
	}
}

type readResult struct {
	status int
	header http.Header
	body   string
}

// readOne reads the response to the request with ID 1 from what a connection delivers.
func readOne(delivered string) (readResult, error) {
	input := &headReader{in: strings.NewReader(delivered)}
	c := &conn{input: input, reader: bufio.NewReaderSize(input, bufferSize)}
	resp, err := c.readResponse(&Request{Method: http.MethodPost, Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "1" }})
	if err != nil {
		return readResult{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return readResult{resp.StatusCode, resp.Header, string(body)}, err
}
