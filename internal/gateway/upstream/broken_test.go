package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/upstream/brokentest"
)

// largeBody is larger than what the kernels of both ends hold.
var largeBody = []byte(strings.Repeat("x", 16<<20))

// readResponseOf sends a request to a server, and reads its response once await returns.
func readResponseOf(t *testing.T, a brokentest.Response, requestBody []byte, await func(*brokentest.Server, *Response)) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	p := NewPool(func() {})
	defer p.CloseIdle()
	s := brokentest.Start(t, a)
	resp, err := p.Send(ctx, s.Address, &Request{
		Method: http.MethodPost, RequestURI: "/x", Host: "h", Body: requestBody, Attempt: "1",
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	await(s, resp)
	body, err := io.ReadAll(resp)
	return string(body), err
}

// untilEnded waits until the server has ended the response, and the request is no longer being written.
func untilEnded(s *brokentest.Server, resp *Response) {
	<-s.Ended()
	for resp.RequestWritten(); !resp.written.ended; resp.RequestWritten() {
		<-time.After(time.Millisecond)
	}
}

// atOnce waits for nothing.
func atOnce(*brokentest.Server, *Response) {}

// Guards against a part of a body that is taken for the whole, because the reset that ended the connection was
// reported to the write of the request.
func TestResetDuringUploadIsNotTheEndOfTheBody(t *testing.T) {
	for _, a := range brokentest.ResetDuringUpload("Id: 1\r\n", "part") {
		t.Run(a.Name, func(t *testing.T) {
			if body, err := readResponseOf(t, a, largeBody, untilEnded); err == nil {
				t.Errorf("%q was taken for the whole body", body)
			}
		})
	}
}

// Guards against the same when the request has been written before the reset.
func TestResetAfterUploadIsNotTheEndOfTheBody(t *testing.T) {
	for _, a := range brokentest.ResetDuringUpload("Id: 1\r\n", "part") {
		if a.End != brokentest.Resets {
			continue // the kernel resets only a connection with unread data when it is closed
		}
		t.Run(a.Name, func(t *testing.T) {
			for _, size := range []int{1, maxInlineBody + 1} {
				if body, err := readResponseOf(t, a, largeBody[:size], untilEnded); err == nil {
					t.Errorf("a request of %d bytes: %q was taken for the whole body", size, body)
				}
			}
		})
	}
}

// Guards against whole responses that are rejected because their server does not read the request to its end, or ends
// one direction of the connection only.
func TestResponseEndedByItsServerIsWhole(t *testing.T) {
	for _, a := range append(brokentest.Whole("Id: 1\r\n", "body"), brokentest.WholeThenReset("Id: 1\r\n", "body")) {
		t.Run(a.Name, func(t *testing.T) {
			if body, err := readResponseOf(t, a, largeBody, untilEnded); err != nil || body != "body" {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// Guards against whole responses that wait until their request is written, which the server may never read.
func TestWholeResponseDoesNotWaitForItsRequest(t *testing.T) {
	a := brokentest.Response{Text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody", Early: true, End: brokentest.EndsDirectionUnread}
	if body, err := readResponseOf(t, a, largeBody, atOnce); err != nil || body != "body" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// Guards against an invalid status that is taken for that of a final or informational response: what follows the head
// would be the response, or be awaited until the deadline.
func TestInvalidStatusIsRejected(t *testing.T) {
	for _, a := range brokentest.InvalidStatuses("Id: 1\r\n") {
		t.Run(a.Name, func(t *testing.T) {
			if body, err := readResponseOf(t, a, nil, atOnce); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// Guards against a head with an invalid field name that is accepted: the line would be passed on, or the body would
// not be the server's.
func TestInvalidFieldNameIsRejected(t *testing.T) {
	for _, a := range brokentest.InvalidFieldNames("Id: 1\r\n") {
		t.Run(a.Name, func(t *testing.T) {
			if body, err := readResponseOf(t, a, nil, atOnce); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// Guards against valid responses that are rejected because their fields have unusual names, values or lines.
func TestUnusualFieldsAreAccepted(t *testing.T) {
	for _, lines := range []string{"x_y.z~1: x", "X-Name:x", "X-Name:", "X-Name: \tx y\t ", "X-Name: x\r\n X Name : y", "!#$%&'*+-.^_`|~: x", "X-Name: \x80\xff"} {
		resp, err := readOne("HTTP/1.1 200 OK\r\nId: 1\r\n" + lines + "\r\nContent-Length: 4\r\n\r\nbody")
		if err != nil || resp.body != "body" {
			t.Errorf("%q: %+v, error %v", lines, resp, err)
		}
	}
}

// Guards against statuses that are rejected although clients may take them for a failure of the server.
func TestAnyStatusOfThreeDigitsIsPassedOn(t *testing.T) {
	for _, status := range []int{200, 299, 404, 599, 600, 999} {
		resp, err := readOne(fmt.Sprintf("HTTP/1.1 %d X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", status))
		if err != nil || resp.status != status || resp.body != "body" {
			t.Errorf("status %d: %+v, error %v", status, resp, err)
		}
	}
}
