package forward

import (
	"context"
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/origin"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// Origins keeps which software version began each stream, and where it runs.
type Origins interface {
	// Record records a stream that this entry serves. It does not block.
	Record(key origin.Key, r origin.Record)
	// Find returns what is known of a stream, and asks other processes if necessary.
	Find(ctx context.Context, key origin.Key) origin.Finding
	// Serve registers a stream that this entry serves, and ends what it serves of it at lower epochs. end is
	// called, on any goroutine, when the caller has taken the stream up at a higher one.
	Serve(key origin.Key, epoch uint32, end func(by netip.AddrPort)) (release func())
	// TakeOver asks the previous entry of a stream to end it. The channel is closed once that one has.
	TakeOver(key origin.Key, previous origin.Record) (ended <-chan struct{})
}

// streamOrigin is the software version that began a stream. What versions write does not fit
// together, and targets do not check it.
type streamOrigin struct {
	// key identifies the stream.
	key origin.Key
	// bound is set once the stream has events. Then only targets of the version go on with it.
	bound   bool
	version origin.Version
	// name is the version for the log, source where it was found.
	name, source string
	// epoch counts how often the caller has taken the stream up.
	epoch uint32
	// previousTarget is where it ran, as long as the previous entry may still have it run there.
	previousTarget fleet.ID
	// ended is closed once the previous entry has ended the stream; nil if it has, or is not waited for any more.
	ended <-chan struct{}
	// end ends the stream here, since its caller has taken it up again. release is called when it has ended.
	end     context.CancelCauseFunc
	release func()
}

// Sources of a stream's version, besides those of origin.Source, in logs and metrics.
const (
	// sourceFirstEvent means that this request brought the first event.
	sourceFirstEvent = "first_event"
	// sourceList means that the target list has shown a single version for longer than streams last.
	sourceList = "list"
)

// streamID returns the ID of the caller's attempt that began the stream, or that of this one.
func (fl *flow) streamID() string {
	if fl.request.LastEventID != "" && fl.request.Resumes != "" {
		return fl.request.Resumes
	}
	return fl.request.ID
}

// resolveOrigin finds the version that began a stream which the caller resumes. It refuses one of
// which that is unknown, since the caller would get a text that two versions wrote.
func (fl *flow) resolveOrigin(ctx context.Context) *errkind.Error {
	if !fl.route.Resumable || fl.route.Kind != estate.Stream {
		return nil
	}
	fl.origin.key = origin.KeyOf(fl.workspaceName(), fl.streamID())
	if fl.lastEvent == "" {
		return nil
	}
	fl.isRetry = true
	found := origin.Finding{Source: origin.Unknown}
	if fl.request.Resumes != "" && fl.request.Resumes != fl.request.ID {
		found = fl.Origins.Find(ctx, fl.origin.key)
	}
	version, source, reason := found.Version, string(found.Source), ""
	switch {
	case found.Source == origin.Unknown:
		version, reason = fl.onlyVersion(ctx)
		if reason == "" {
			source = sourceList
		}
	case version == origin.Ambiguous:
		reason = "targets of unknown or different versions began it"
	}
	fl.origin.bound, fl.origin.version, fl.origin.source, fl.origin.name = true, version, source, fl.versionName(version)
	took := notTakenOver
	if reason == "" {
		found.Version = version
		took = fl.takeOver(ctx, found.Record)
	}
	fl.Metrics.StreamStart(source)
	fl.Metrics.Takeover(took)
	fl.Logger.Info("stream_start", "request_id", fl.request.ID, "resumes", bounded(fl.request.Resumes), "last_event", bounded(fl.lastEvent), "source", source, "version", fl.origin.name,
		"reason", reason, "asked", found.Asked, "answered", found.Answered, "took", roundForLog(found.Took), "epoch", fl.origin.epoch, "takeover", took, "list_age", fl.age(fl.view.TargetsCurrentAt), "service", fl.serviceName(), "workspace", fl.workspaceName())
	if reason != "" {
		return errkind.New(errkind.StreamNotResumable, "the software version that began the stream is unknown: %s", reason)
	}
	return nil
}

// maxListWait limits the wait for a target list that was read after the caller came back.
const maxListWait = 1500 * time.Millisecond

// onlyVersion returns the version that began a stream of which nothing is known, or why that cannot
// be told.
//
// The target that began it was listed before its first event. The version is therefore certain if
// a list that was asked for after the caller came back shows a single one, and so did all lists since
// the earliest time at which the stream may have begun. An entry that has started or lost the
// store meanwhile has not seen them all. The list is read for this: what has arrived lately may have been written
// long before.
func (fl *flow) onlyVersion(ctx context.Context) (origin.Version, string) {
	since := fl.Now()
	if only, ok := fl.view.SingleVersions[fl.service.Name]; ok && since.Sub(only.Since) < fl.Bounds.LongestStream {
		return origin.Ambiguous, shortlyKnown
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxListWait, time.Duration(placeWaitShare*float64(fl.timeLeft()))))
	defer cancel()
	for {
		refreshed := fl.RefreshTargets(ctx)
		if v, ok := fl.View(); refreshed && ok && !v.TargetsCurrentAt.Before(since) {
			fl.view = v
			return singleVersion(v, fl.service.Name, since, fl.Bounds.LongestStream)
		}
		if !sleep.For(ctx, placeInterval) {
			return origin.Ambiguous, "no record of it, and no target list from after the request"
		}
	}
}

// shortlyKnown is why a single version does not tell which one began a stream.
const shortlyKnown = "no record of it, and a single version is known for a short time only"

// singleVersion returns the only version that a service may have had while a stream that is resumed
// now was begun, or why there is none.
func singleVersion(v *view.View, service string, now time.Time, longestStream time.Duration) (origin.Version, string) {
	only, ok := v.SingleVersions[service]
	switch {
	case !ok:
		return origin.Ambiguous, "no record of it, and the service has targets of several or unknown versions"
	case now.Sub(only.Since) < longestStream:
		return origin.Ambiguous, shortlyKnown
	default:
		return origin.VersionOf(service, only.Version), ""
	}
}

// recordOrigin records the version that brings the first event of the stream, and where it runs, before the
// caller gets the event: the entry may end at any moment.
func (fl *flow) recordOrigin(dst *destination) {
	if !fl.route.Resumable {
		return
	}
	if !fl.origin.bound {
		name := dst.target.SoftwareVersion
		fl.origin.bound, fl.origin.version = true, origin.VersionOf(dst.target.Service, name)
		fl.origin.name, fl.origin.source = name, sourceFirstEvent
		fl.serveStream(firstEpoch)
	}
	fl.Origins.Record(fl.origin.key, origin.Record{Version: fl.origin.version, Run: origin.Run{Target: uint32(dst.target.ID), Epoch: fl.origin.epoch}})
}

// hasOtherVersion reports whether a target must not go on with the stream.
func (fl *flow) hasOtherVersion(t *fleet.Target) bool {
	return fl.origin.bound && (fl.origin.version == origin.Ambiguous || origin.VersionOf(t.Service, t.SoftwareVersion) != fl.origin.version)
}

// startTimeTimeout limits the question for an engine's start time. An engine that takes longer is busy
// or gone.
const startTimeTimeout = 100 * time.Millisecond

// isIncarnationConfirmed reports whether the process at a target's address is the listed incarnation, for
// requests that depend on it. A target may start again under its name a second before the list shows that,
// and accepts requests that name the earlier incarnation. A stream could go on at another software version.
// The crash of a target under a suspect would count for the incarnation that has ended already.
func (fl *flow) isIncarnationConfirmed(ctx context.Context, dst *destination) bool {
	t := &dst.target
	isSuspect := fl.quarantineStatus.Verdict != quarantine.Free
	if !fl.origin.bound && !isSuspect || fl.StartTime == nil || t.StartedMs == 0 || fl.service.Engine == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeTimeout)
	defer cancel()
	startedMs, err := fl.StartTime(ctx, t.Address)
	if err == nil && (startedMs == 0 || startedMs == t.StartedMs) {
		return true
	}
	if err != nil && !fl.origin.bound {
		return true // suspects may run at targets that are slow to say
	}
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	fl.Logger.Info("target_restarted", "request_id", fl.request.ID, "target", t.Incarnation, "version", t.SoftwareVersion, "stream", fl.origin.bound, "suspect", isSuspect, "started_ms", startedMs, "error", detail)
	return false
}

// checkVersionServes refuses a stream at once if no target has the version that began it.
func (fl *flow) checkVersionServes() *errkind.Error {
	if !fl.origin.bound {
		return nil
	}
	targets := fl.view.Targets[fl.service.Name]
	for i := range targets {
		if !targets[i].Leaving && !fl.hasOtherVersion(&targets[i]) {
			return nil
		}
	}
	fl.Logger.Info("stream_version_gone", "request_id", fl.request.ID, "resumes", bounded(fl.request.Resumes), "version", fl.origin.name, "source", fl.origin.source,
		"last_event", bounded(fl.lastEvent), "events", fl.eventCount, "targets", len(targets), "list_age", fl.age(fl.view.TargetsCurrentAt))
	return errkind.New(errkind.StreamNotResumable, "no target has the software version %q that began the stream", fl.origin.name)
}

// versionName returns the name of a version if a target has it.
func (fl *flow) versionName(version origin.Version) string {
	targets := fl.view.Targets[fl.service.Name]
	for i := range targets {
		if t := &targets[i]; version != origin.Ambiguous && origin.VersionOf(t.Service, t.SoftwareVersion) == version {
			return t.SoftwareVersion
		}
	}
	return ""
}
