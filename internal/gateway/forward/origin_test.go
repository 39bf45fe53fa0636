package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/origin"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// longestStream is the longest time from the first event of a stream to its last resumption.
const longestStream = 65 * time.Second

// versionedEnv is a testEnv whose targets have software versions.
type versionedEnv struct {
	*testEnv
	origins *fakeOrigins
	targets []*fakeTarget
}

// newVersionedEnv starts a target for each version. A target sends two events and half of the third,
// and the rest of a stream that is resumed.
func newVersionedEnv(t *testing.T, versions ...string) *versionedEnv {
	e := &versionedEnv{origins: &fakeOrigins{found: map[origin.Key]origin.Version{}}}
	for i := range versions {
		var target *fakeTarget
		target = startTarget(t, "target-"+string(rune('a'+i)), func(w io.Writer, r *http.Request, _ string) bool {
			target.writeStreamHead(w, r)
			if r.Header.Get(wiretest.LastEventID) != "" {
				writeChunk(w, event(3)+event(4))
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			}
			writeChunk(w, event(1)+event(2)+"id: 3\ndata: pie")
			return false
		})
		e.targets = append(e.targets, target)
	}
	e.testEnv = newTestEnv(t, e.targets...)
	e.Origins = e.origins
	for i := range e.view.Targets["plain"] {
		e.view.Targets["plain"][i].SoftwareVersion = versions[i]
	}
	return e
}

// listSingleVersion makes the list show a single version for some time; it was read after now.
func (e *versionedEnv) listSingleVersion(version string, since time.Duration) {
	now := time.Now()
	e.view.TargetsCurrentAt = now.Add(time.Hour)
	e.view.SingleVersions = map[string]fleet.SingleVersion{"plain": {Version: version, Since: now.Add(-since)}}
}

func (e *versionedEnv) runs() int {
	n := 0
	for _, target := range e.targets {
		n += int(target.runs.Load())
	}
	return n
}

// knows makes the start of a stream of "town" known.
func (e *versionedEnv) knows(attempt string, version origin.Version) {
	e.origins.found[origin.KeyOf("town", attempt)] = version
}

const wholeStream = "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n"

// Guards against a stream that goes on at another version within one response.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for range 10 {
		e := newVersionedEnv(t, "v1", "v2", "v2", "v2", "v1")
		_, body, err := e.post(t, "/resume/x", "")
		if err != nil || body != wholeStream {
			t.Fatalf("body %q, error %v", body, err)
		}
		byVersion := map[string]int{}
		for i := range e.targets {
			byVersion[e.view.Targets["plain"][i].SoftwareVersion] += int(e.targets[i].runs.Load())
		}
		if len(byVersion) != 2 || byVersion["v1"]*byVersion["v2"] != 0 {
			t.Fatalf("runs by version: %v", byVersion)
		}
	}
}

// Guards against a stream that goes on although nobody has the version that began it, or that version
// is not known.
func TestBrokenStreamEndsWithoutItsVersion(t *testing.T) {
	for _, versions := range [][]string{{"v1", "v2"}, {"", ""}} {
		e := newVersionedEnv(t, versions...)
		if _, body, err := e.post(t, "/resume/x", ""); err == nil || e.runs() != 1 {
			t.Errorf("%q: body %q, error %v, %d runs", versions, body, err, e.runs())
		}
	}
}

// Guards against the start of a stream that is recorded under another version, or not at all.
func TestStartOfStreamIsRecorded(t *testing.T) {
	for version, want := range map[string]origin.Version{"v1": origin.VersionOf("plain", "v1"), "": origin.Ambiguous} {
		e := newVersionedEnv(t, version)
		_, _, _ = e.post(t, "/resume/x", "")
		if got, ok := e.origins.recorded[origin.KeyOf("town", "r1")]; !ok || got != want {
			t.Errorf("%q: recorded %v, %v", version, got, ok)
		}
	}
}

// Guards against a resumed stream that goes on at another version than its record says.
func TestResumedStreamGoesOnAtItsVersionOnly(t *testing.T) {
	e := newVersionedEnv(t, "v1", "v2", "v1", "v1")
	e.knows("first", origin.VersionOf("plain", "v2"))
	_, body, err := e.post(t, "/resume/x", "", wiretest.LastEventID, "2", wiretest.Resumes, "first")
	if err != nil || body != event(3)+event(4) || e.targets[1].runs.Load() != 1 || e.runs() != 1 {
		t.Errorf("body %q, error %v, %d of %d runs at the version", body, err, e.targets[1].runs.Load(), e.runs())
	}
	if got := e.origins.recorded[origin.KeyOf("town", "first")]; got != origin.VersionOf("plain", "v2") {
		t.Errorf("the record was not renewed: %v", got)
	}
}

// Guards against streams that are resumed although their start is unknown, and against such that are
// refused although only one version can have begun them. A refusal comes at once, says that the
// request did not run and does not ask the caller to come back.
func TestStreamOfUnknownStart(t *testing.T) {
	known := func(version origin.Version) func(*versionedEnv) {
		return func(e *versionedEnv) { e.knows("first", version) }
	}
	for _, c := range []struct {
		name     string
		versions []string
		prepare  func(e *versionedEnv)
		resumes  string
		served   bool
	}{
		{"version gone", []string{"v1"}, known(origin.VersionOf("plain", "v9")), "first", false},
		{"same name of another service", []string{"v1"}, known(origin.VersionOf("engines", "v1")), "first", false},
		{"ambiguous", []string{"v1"}, known(origin.Ambiguous), "first", false},
		{"two versions listed", []string{"v1", "v2"}, func(e *versionedEnv) { e.view.TargetsCurrentAt = time.Now().Add(time.Hour) }, "first", false},
		{"one version for long", []string{"v1"}, func(e *versionedEnv) { e.listSingleVersion("v1", 2*longestStream) }, "first", true},
		{"one version for a short time", []string{"v1"}, func(e *versionedEnv) { e.listSingleVersion("v1", longestStream/2) }, "first", false},
		{"list older than the request", []string{"v1"}, func(e *versionedEnv) {
			e.listSingleVersion("v1", 2*longestStream)
			e.view.TargetsCurrentAt = time.Now().Add(-time.Second)
		}, "first", false},
		{"no attempt named, one version", []string{"v1"}, func(e *versionedEnv) { e.listSingleVersion("v1", 2*longestStream) }, "", true},
		{"no attempt named, two versions", []string{"v1", "v2"}, func(e *versionedEnv) { e.view.TargetsCurrentAt = time.Now().Add(time.Hour) }, "", false},
		{"attempt of another workspace", []string{"v1", "v2"}, func(e *versionedEnv) {
			e.origins.found[origin.KeyOf("fort", "first")] = origin.VersionOf("plain", "v1")
			e.view.TargetsCurrentAt = time.Now().Add(time.Hour)
		}, "first", false},
	} {
		e := newVersionedEnv(t, c.versions...)
		c.prepare(e)
		resp, body, err := e.post(t, "/resume/x", "", wiretest.LastEventID, "2", wiretest.Resumes, c.resumes)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if c.served {
			if body != event(3)+event(4) {
				t.Errorf("%s: status %d, body %q", c.name, resp.StatusCode, body)
			}
			continue
		}
		if resp.StatusCode != http.StatusMisdirectedRequest || !strings.Contains(body, "stream_not_resumable") || resp.Header.Get("Retry-After") != "" || e.runs() != 0 {
			t.Errorf("%s: status %d, headers %v, body %q, %d runs", c.name, resp.StatusCode, resp.Header, body, e.runs())
		}
	}
}

// Guards against a stream of unknown start that goes on by a list which has only arrived after the request, and
// against reads of the store where they cannot help.
func TestStreamOfUnknownStartNeedsAListThatWasAskedFor(t *testing.T) {
	for _, c := range []struct {
		name      string
		since     time.Duration
		refreshed bool
		reads     bool
		served    bool
	}{
		{"the list was read", 2 * longestStream, true, true, true},
		{"the store did not answer", 2 * longestStream, false, true, false},
		{"a single version for a short time", longestStream / 2, true, false, false},
	} {
		e := newVersionedEnv(t, "v1")
		e.listSingleVersion("v1", c.since)
		var reads atomic.Int64
		e.RefreshTargets = func(context.Context) bool { reads.Add(1); return c.refreshed }
		_, body, err := e.post(t, "/resume/x", "", wiretest.LastEventID, "2", wiretest.Resumes, "first")
		if served := body == event(3)+event(4); err != nil || served != c.served || reads.Load() > 0 != c.reads {
			t.Errorf("%s: body %q, error %v, %d reads", c.name, body, err, reads.Load())
		}
	}
}

// Guards against questions to other processes for requests that resume nothing: forged ones, those
// without a last event, and those on routes that do not resume.
func TestOnlyResumptionsAreAskedFor(t *testing.T) {
	e := newVersionedEnv(t, "v1", "v1")
	e.listSingleVersion("v1", 2*longestStream)
	for _, headers := range [][]string{{wiretest.Resumes, "first"}, {wiretest.LastEventID, "2"}} {
		_, _, _ = e.post(t, "/resume/x", "", headers...)
	}
	_, _, _ = e.post(t, "/stream/x", "", wiretest.LastEventID, "2", wiretest.Resumes, "first")
	if e.origins.asked != 0 {
		t.Errorf("%d questions", e.origins.asked)
	}
}

// Guards against a stream that goes on at a target which has started again under its name, perhaps with
// another version.
func TestRestartedTargetDoesNotGoOnWithStream(t *testing.T) {
	for name, c := range map[string]struct {
		startedMs int64
		err       error
		served    bool
	}{
		"the listed incarnation": {startedMs: 5, served: true}, "started again": {startedMs: 6}, "no answer": {err: io.ErrUnexpectedEOF},
		"does not say": {served: true},
	} {
		e := newVersionedEnv(t, "v1")
		e.knows("first", origin.VersionOf("engines", "v1"))
		e.view.Targets["engines"][0].SoftwareVersion, e.view.Targets["engines"][0].StartedMs = "v1", 5
		e.StartTime = func(context.Context, netip.AddrPort) (int64, error) { return c.startedMs, c.err }
		resp, body, err := e.post(t, "/resume-prompt/x", "", wiretest.LastEventID, "2", wiretest.Resumes, "first")
		if err != nil || c.served != (body == event(3)+event(4)) || !c.served && e.runs() > 0 {
			t.Errorf("%s: response %v, body %q, error %v, %d runs", name, resp, body, err, e.runs())
		}
	}
}
