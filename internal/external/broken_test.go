package external_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream/brokentest"
)

// callPlain makes a call with a body of 8 MiB to a target that sends the response.
func callPlain(t *testing.T, a brokentest.Response) (*external.PlainResponse, error) {
	t.Helper()
	client := external.NewHTTPClient()
	defer client.CloseIdleConnections()
	target := external.NewHTTPPlain("http://"+brokentest.Start(t, a).Address.String(), client)
	return target.Call(t.Context(), &external.PlainRequest{Path: "/x", Timeout: 5 * time.Second, Body: bytes.Repeat([]byte("x"), 8<<20)})
}

// Guards against a call that gets a part of its response for the whole, because the reset that ended the connection
// was reported to the write of the request.
func TestResetDuringUploadIsNotTheEndOfAResponse(t *testing.T) {
	const rounds = 20 // which of the write and the read is told of the reset is up to the kernel
	for _, a := range brokentest.ResetDuringUpload("", "part") {
		t.Run(a.Name, func(t *testing.T) {
			for range rounds {
				if resp, err := callPlain(t, a); err == nil {
					t.Errorf("status %d, body %q", resp.Status, resp.Body)
				}
			}
		})
	}
}

// Guards against whole responses that are rejected because their target ends the connection.
func TestResponseEndedByItsTargetIsWhole(t *testing.T) {
	for _, a := range brokentest.Whole("", "body") {
		t.Run(a.Name, func(t *testing.T) {
			if resp, err := callPlain(t, a); err != nil || string(resp.Body) != "body" {
				t.Errorf("response %+v, error %v", resp, err)
			}
		})
	}
}

// Guards against a call that returns an invalid status.
func TestInvalidStatusOfPlainCallIsRejected(t *testing.T) {
	for _, a := range brokentest.InvalidStatuses("") {
		t.Run(a.Name, func(t *testing.T) {
			if resp, err := callPlain(t, a); err == nil {
				t.Errorf("status %d, body %q", resp.Status, resp.Body)
			}
		})
	}
}

// Guards against a call that accepts a head with an invalid field name, and with it another body than the target's.
func TestInvalidFieldNameOfPlainCallIsRejected(t *testing.T) {
	for _, a := range brokentest.InvalidFieldNames("") {
		if a.Name == "early hints" {
			continue // net/http drops informational responses
		}
		t.Run(a.Name, func(t *testing.T) {
			if resp, err := callPlain(t, a); err == nil {
				t.Errorf("status %d, body %q", resp.Status, resp.Body)
			}
		})
	}
}
