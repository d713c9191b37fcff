package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/valyala/fasthttp"
)

// Paths of the control port.
const (
	// PathPublish takes a POST of {"directory": "..."}.
	PathPublish = "/publish"
	// PathMembers takes a PUT of a JSON list of members.
	PathMembers = "/members"
	// PathFault takes a PUT of a Fault.
	PathFault = "/fault"
	// PathCounters returns the counters by remote IP.
	PathCounters = "/counters"
)

// Publish makes a manifest and its values the newest publication and returns its revision. The contents are
// not checked beyond the size of a value: the platform does not know them.
func (s *Server) Publish(manifest []byte, values map[string][]byte) (uint64, error) {
	for digest, value := range values {
		if len(value) > maxValueBytes {
			return 0, fmt.Errorf("value %s has %d bytes; the platform holds at most %d", digest, len(value), maxValueBytes)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, value := range values {
		s.values[digest] = append([]byte(nil), value...)
	}
	revision := uint64(len(s.publications) + 1)
	s.publications = append(s.publications, publication{
		revision: revision,
		manifest: append([]byte(nil), manifest...),
	})
	s.wake()
	return revision, nil
}

// PublishDirectory publishes a bundle directory: manifest.json and values/<sha256>.
func (s *Server) PublishDirectory(directory string) (uint64, error) {
	manifest, err := os.ReadFile(filepath.Join(directory, "manifest.json"))
	if err != nil {
		return 0, err
	}
	entries, err := os.ReadDir(filepath.Join(directory, "values"))
	if err != nil {
		return 0, err
	}
	values := make(map[string][]byte, len(entries))
	for _, e := range entries {
		value, err := os.ReadFile(filepath.Join(directory, "values", e.Name()))
		if err != nil {
			return 0, err
		}
		values[e.Name()] = value
	}
	return s.Publish(manifest, values)
}

// SetMembers replaces the list of VMs, after the lag of the present fault.
func (s *Server) SetMembers(members []platform.Member) {
	members = append([]platform.Member{}, members...)
	s.mu.Lock()
	s.memberEdits++
	edit := s.memberEdits
	lag := time.Duration(s.fault.MemberListDelayMS) * time.Millisecond
	s.mu.Unlock()
	if lag == 0 {
		s.applyMembers(edit, members)
		return
	}
	time.AfterFunc(lag, func() { s.applyMembers(edit, members) })
}

// applyMembers ignores an edit older than the one in force, so that a list never goes back.
func (s *Server) applyMembers(edit uint64, members []platform.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if edit+1 <= s.members.Revision {
		return
	}
	s.members = platform.MemberList{Revision: edit + 1, Members: members}
	s.wake()
}

// control serves the control port.
func (s *Server) control(ctx *fasthttp.RequestCtx) {
	switch method, path := string(ctx.Method()), string(ctx.Path()); method + " " + path {
	case "POST " + PathPublish:
		s.controlPublish(ctx)
	case "PUT " + PathMembers:
		var members []platform.Member
		if decode(ctx, &members) {
			s.SetMembers(members)
		}
	case "PUT " + PathFault:
		var f Fault
		if decode(ctx, &f) {
			s.controlFault(ctx, f)
		}
	case "GET " + PathCounters:
		reply(ctx, s.CountersByIP())
	default:
		ctx.Error("unknown control call", fasthttp.StatusNotFound)
	}
}

func (s *Server) controlPublish(ctx *fasthttp.RequestCtx) {
	var request struct {
		Directory string `json:"directory"`
	}
	if !decode(ctx, &request) {
		return
	}
	revision, err := s.PublishDirectory(request.Directory)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	reply(ctx, map[string]uint64{"revision": revision})
}

func (s *Server) controlFault(ctx *fasthttp.RequestCtx, f Fault) {
	switch f.Kind {
	case FaultNone, FaultDown, FaultFrozen, FaultStale:
		s.SetFault(f)
	default:
		ctx.Error(fmt.Sprintf("unknown fault %q", f.Kind), fasthttp.StatusBadRequest)
	}
}

func decode(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// ValueDigest returns the name under which a value is published: its hexadecimal SHA-256.
func ValueDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}
