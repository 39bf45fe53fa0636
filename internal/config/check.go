package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/tomltext"
)

const (
	schemaVersion  = 1
	maxLoadsLimit  = 64
	maxBlockTokens = 4096
	maxTextBytes   = 1 << 20
	sha256Bytes    = 32
)

// Parse parses and validates a text. The error lists all problems, each with the
// file name, the line if known, the key, the value found and the values allowed.
func Parse(name, text string) (*Config, error) {
	if len(text) > maxTextBytes {
		return nil, errors.Newf("%s: %d bytes found; allowed are %d", name, len(text), maxTextBytes)
	}
	c := &Config{}
	if err := tomltext.Decode(name, text, c); err != nil {
		return nil, err
	}
	c.setDefaults()
	k := &checker{file: name, lines: strings.Split(text, "\n"), config: c}
	k.run()
	if len(k.problems) > 0 {
		return nil, errors.Newf("%s", strings.Join(k.problems, "\n"))
	}
	c.buildIndexes()
	return c, nil
}

func (c *Config) buildIndexes() {
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.models = make(map[string]*Model, len(c.Models))
	for i := range c.Models {
		c.models[c.Models[i].Name] = &c.Models[i]
	}
	c.workspaces = make(map[string]*Workspace, len(c.Workspaces))
	c.byTokenDigest = make(map[string]*Workspace, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		c.workspaces[w.Name] = w
		c.byTokenDigest[strings.ToLower(w.TokenSHA256)] = w
	}
}

// checker collects the problems of a text.
type checker struct {
	file     string
	lines    []string
	config   *Config
	problems []string
}

// lineOf returns the first line that contains the quoted value, or 0. Names are
// unique, so the line of a name is usually in its table.
func (k *checker) lineOf(value string) int {
	if value == "" {
		return 0
	}
	quoted := `"` + value + `"`
	for i, line := range k.lines {
		if strings.Contains(line, quoted) {
			return i + 1
		}
	}
	return 0
}

func (k *checker) report(nearValue, key, format string, args ...any) {
	position := k.file
	if line := k.lineOf(nearValue); line > 0 {
		position = fmt.Sprintf("%s:%d", k.file, line)
	}
	k.problems = append(k.problems, fmt.Sprintf("%s: %s: %s", position, key, fmt.Sprintf(format, args...)))
}

func (k *checker) run() {
	if k.config.Schema != schemaVersion {
		k.report("", "schema", "%d found; allowed is %d", k.config.Schema, schemaVersion)
	}
	zones := k.checkRegions()
	k.checkServices(zones)
	k.checkCycles()
	k.checkModels()
	k.checkWorkspaces()
	k.checkObjectives()
	k.checkLimits()
}

func (k *checker) checkRegions() map[string]bool {
	zones := map[string]bool{}
	regions := map[string]bool{}
	for _, r := range k.config.Regions {
		if r.Name == "" || regions[r.Name] {
			k.report(r.Name, "region.name", "%q found; allowed is a name that stands once", r.Name)
		}
		regions[r.Name] = true
		for _, z := range r.AvailabilityZones {
			if zones[z] {
				k.report(z, "region.availability_zones", "%q is declared twice", z)
			}
			zones[z] = true
		}
	}
	if len(zones) == 0 {
		k.report("", "region", "none found; at least one with an availability zone is needed")
	}
	return zones
}

func (k *checker) checkServices(zones map[string]bool) {
	names := map[string]bool{}
	targets := map[string]bool{}
	addresses := map[string]string{}
	for _, s := range k.config.Services {
		if s.Name == "" || names[s.Name] {
			k.report(s.Name, "service.name", "%q found; allowed is a name that stands once", s.Name)
		}
		names[s.Name] = true
		k.checkService(s)
		for _, t := range s.Targets {
			k.checkTarget(s, t, zones)
			if targets[t.Name] {
				k.report(t.Name, "service.target.name", "%q is declared twice", t.Name)
			}
			targets[t.Name] = true
			if other, taken := addresses[t.Address]; taken {
				k.report(t.Name, "service.target.address", "%q is already the address of %q", t.Address, other)
			}
			addresses[t.Address] = t.Name
		}
	}
	if len(names) == 0 {
		k.report("", "service", "none found; at least one is needed")
	}
	for _, s := range k.config.Services {
		for _, d := range s.DependsOn {
			if !names[d] {
				k.report(s.Name, "service.depends_on", "%q found; allowed are services of this text", d)
			}
		}
	}
}

func (k *checker) checkService(s Service) {
	kinds := []Kind{KindEngine, KindPlain, KindKV}
	if !slices.Contains(kinds, s.Kind) {
		k.report(s.Name, "service.kind", `%q found; allowed are "engine", "plain" and "kv"`, s.Kind)
	}
	if s.MaxLoads < 1 || s.MaxLoads > maxLoadsLimit {
		k.report(s.Name, "service.max_loads", "%d found; allowed are 1 to %d", s.MaxLoads, maxLoadsLimit)
	}
	if s.BlockTokens < 1 || s.BlockTokens > maxBlockTokens {
		k.report(s.Name, "service.block_tokens", "%d found; allowed are 1 to %d", s.BlockTokens, maxBlockTokens)
	}
	if s.OpaqueKeys && !s.AtMostOnce {
		k.report(s.Name, "service.opaque_keys", "true found without at_most_once; it speaks of at_most_once services only")
	}
	if s.Kind == KindKV && s.AtMostOnce {
		k.report(s.Name, "service.at_most_once", "true found; a kv service has no calls")
	}
}

func (k *checker) checkTarget(s Service, t Target, zones map[string]bool) {
	if t.Name == "" {
		k.report(s.Name, "service.target.name", "missing")
	}
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		k.report(t.Name, "service.target.address", "%q found; allowed is an IP number with a port", t.Address)
	}
	if !zones[t.AvailabilityZone] {
		k.report(t.Name, "service.target.availability_zone", "%q found; allowed are zones of this text", t.AvailabilityZone)
	}
}

// checkCycles reports dependency cycles, found by a depth-first search.
func (k *checker) checkCycles() {
	const (
		unvisited = iota
		visiting
		visited
	)
	dependencies := map[string][]string{}
	for _, s := range k.config.Services {
		dependencies[s.Name] = s.DependsOn
	}
	state := map[string]int{}
	var visit func(name string, path []string)
	visit = func(name string, path []string) {
		path = append(path, name)
		if state[name] == visiting {
			start := slices.Index(path, name)
			k.report(name, "service.depends_on", "cycle %s", strings.Join(path[start:], " -> "))
			return
		}
		if state[name] == visited {
			return
		}
		state[name] = visiting
		for _, d := range dependencies[name] {
			visit(d, path)
		}
		state[name] = visited
	}
	for _, s := range k.config.Services {
		visit(s.Name, nil)
	}
}

func (k *checker) checkModels() {
	kinds := map[string]Kind{}
	for _, s := range k.config.Services {
		kinds[s.Name] = s.Kind
	}
	names := map[string]bool{}
	served := map[string]string{}
	for _, m := range k.config.Models {
		if m.Name == "" || names[m.Name] {
			k.report(m.Name, "model.name", "%q found; allowed is a name that stands once", m.Name)
		}
		names[m.Name] = true
		if kinds[m.Service] != KindEngine {
			k.report(m.Name, "model.service", "%q found; allowed are services of kind engine", m.Service)
		}
		if other, taken := served[m.Service]; taken {
			k.report(m.Name, "model.service", "%q serves model %q already", m.Service, other)
		}
		served[m.Service] = m.Name
		if m.Weights == "" {
			k.report(m.Name, "model.weights", "missing")
		}
	}
	for _, s := range k.config.Services {
		if s.Kind == KindEngine && served[s.Name] == "" {
			k.report(s.Name, "model", "no model uses the engine service %q", s.Name)
		}
	}
}

func (k *checker) checkWorkspaces() {
	names := map[string]bool{}
	tokens := map[string]bool{}
	for _, w := range k.config.Workspaces {
		if w.Name == "" || names[w.Name] {
			k.report(w.Name, "workspace.name", "%q found; allowed is a name that stands once", w.Name)
		}
		names[w.Name] = true
		digest, err := hex.DecodeString(w.TokenSHA256)
		if err != nil || len(digest) != sha256Bytes {
			k.report(w.Name, "workspace.token_sha256", "%q found; allowed are 64 hex digits", w.TokenSHA256)
		}
		if tokens[w.TokenSHA256] {
			k.report(w.Name, "workspace.token_sha256", "duplicate; each workspace needs its own token")
		}
		tokens[w.TokenSHA256] = true
		if w.Weight <= 0 {
			k.report(w.Name, "workspace.weight", "%v found; allowed are numbers above 0", w.Weight)
		}
		if _, ok := ParseClass(w.Class); !ok {
			k.report(w.Name, "workspace.class", `%q found; allowed are "alert", "interactive" and "batch"`, w.Class)
		}
	}
}

func (k *checker) checkObjectives() {
	for _, o := range k.config.Objectives {
		known := slices.ContainsFunc(k.config.Services, func(s Service) bool { return s.Name == o.Service })
		if !known {
			k.report(o.Service, "objective.service", "%q found; allowed are services of this text", o.Service)
		}
		if _, ok := ParseClass(o.Class); !ok {
			k.report(o.Service, "objective.class", `%q found; allowed are "alert", "interactive" and "batch"`, o.Class)
		}
		if o.Goal <= 0 || o.Goal >= 1 {
			k.report(o.Service, "objective.goal", "%v found; allowed are numbers between 0 and 1", o.Goal)
		}
		if o.TTFT.Duration == 0 {
			k.report(o.Service, "objective.ttft", "missing")
		}
	}
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	if l.MaxBodyBytes < 0 {
		k.report("", "limits.max_body_bytes", "%d found; allowed are numbers above 0", l.MaxBodyBytes)
	}
	if l.RetryShare < 0 || l.RetryShare > 1 {
		k.report("", "limits.retry_share", "%v found; allowed are 0 to 1", l.RetryShare)
	}
}
