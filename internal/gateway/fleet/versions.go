package fleet

import "time"

// SingleVersion is the only software version of a service's targets.
type SingleVersion struct {
	Version string
	// Since is when a target of another version was last listed, or the time since which the list was
	// followed without a gap.
	Since time.Time
}

// versionHistory holds, by service, when a target of each software version was last listed.
type versionHistory map[string]map[string]time.Time

// note records that a target was listed until now.
func (h versionHistory) note(l *Listing, now time.Time) {
	if l.Service == "" {
		return
	}
	if h[l.Service] == nil {
		h[l.Service] = map[string]time.Time{}
	}
	h[l.Service][l.SoftwareVersion] = now
}

// lastOther returns when a target of another version was last listed; zero if none was.
func (h versionHistory) lastOther(service, version string) time.Time {
	var last time.Time
	for other, at := range h[service] {
		if other != version && at.After(last) {
			last = at
		}
	}
	return last
}

// versionRetention is how long versions are remembered of which no target is listed. It is far longer
// than any stream.
const versionRetention = 10 * time.Minute

func (h versionHistory) prune(now time.Time) {
	for _, versions := range h {
		for version, at := range versions {
			if now.Sub(at) > versionRetention {
				delete(versions, version)
			}
		}
	}
}

// SingleVersions returns the services whose usable targets all have the same known version. The list
// was followed without a gap since completeSince.
func (d *Directory) SingleVersions(byService map[string][]Target, completeSince time.Time) map[string]SingleVersion {
	single := make(map[string]SingleVersion, len(byService))
	if completeSince.IsZero() {
		return single
	}
	for service, targets := range byService {
		version, ok := commonVersion(targets)
		if !ok {
			continue
		}
		since := completeSince
		if other := d.versions.lastOther(service, version); other.After(since) {
			since = other
		}
		single[service] = SingleVersion{Version: version, Since: since}
	}
	return single
}

// commonVersion returns the version of all targets; ok is false if they have several or an unknown one.
func commonVersion(targets []Target) (version string, ok bool) {
	for i := range targets {
		if targets[i].SoftwareVersion != targets[0].SoftwareVersion {
			return "", false
		}
	}
	if len(targets) == 0 || targets[0].SoftwareVersion == "" {
		return "", false
	}
	return targets[0].SoftwareVersion, true
}
