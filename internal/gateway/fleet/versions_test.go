package fleet

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

func versionedListing(instance string, port uint16, version string) Listing {
	l := listing(instance, port)
	l.SoftwareVersion = version
	return l
}

// Guards against a service that counts as having had a single version while targets of another one
// were listed, also under one name and one after the other, or while the list was not followed.
func TestSingleVersionSince(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for _, c := range []struct {
		name    string
		history func(d *Directory)
		want    time.Time
		single  bool
	}{
		{"one version", func(d *Directory) { d.Add(versionedListing("x", 1, "v1"), feed.Position{Offset: 1}, at(1)) }, at(0), true},
		{"two versions", func(d *Directory) {
			d.Add(versionedListing("x", 1, "v1"), feed.Position{Offset: 1}, at(1))
			d.Add(versionedListing("y", 2, "v2"), feed.Position{Offset: 2}, at(2))
		}, at(0), false},
		{"another version was removed", func(d *Directory) {
			d.Add(versionedListing("x", 1, "v1"), feed.Position{Offset: 1}, at(1))
			d.Add(versionedListing("y", 2, "v2"), feed.Position{Offset: 2}, at(2))
			d.Remove("y", at(9))
		}, at(9), true},
		{"another version under the same name", func(d *Directory) {
			d.Add(versionedListing("x", 1, "v1"), feed.Position{Offset: 1}, at(1))
			d.Add(versionedListing("x", 1, "v2"), feed.Position{Offset: 2}, at(7))
		}, at(7), true},
		{"unknown version", func(d *Directory) { d.Add(versionedListing("x", 1, ""), feed.Position{Offset: 1}, at(1)) }, at(0), false},
	} {
		d := NewDirectory()
		c.history(d)
		got, ok := d.SingleVersions(d.Targets(declared, at(10), currentSync), at(0))["s"]
		if ok != c.single || ok && !got.Since.Equal(c.want) {
			t.Errorf("%s: got %+v, %v, want since %v", c.name, got, ok, c.want)
		}
		if _, ok := d.SingleVersions(d.Targets(declared, at(10), currentSync), time.Time{})["s"]; ok {
			t.Errorf("%s: a list that is not followed shows a single version", c.name)
		}
	}
}

// Guards against an engine whose version is unknown and that counts as having the listed one.
func TestUnlistedTargetHidesSingleVersion(t *testing.T) {
	d := NewDirectory()
	d.Add(versionedListing("x", 1, "v1"), feed.Position{Offset: 1}, start)
	byService := d.Targets(declared, later, currentSync)
	d.ApplyReports(byService, []Report{reportOf(listing("new", 2), later)}, currentSync, later)
	if _, ok := d.SingleVersions(byService, start)["s"]; ok {
		t.Errorf("targets %+v count as having a single version", byService["s"])
	}
}
