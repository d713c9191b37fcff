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
	// PathPublish takes a POST of {"directory": "..."}, the bundle directory to publish. The response holds the
	// revision.
	PathPublish = "/publish"
	// PathMembers takes a PUT of the member list as a JSON array.
	PathMembers = "/members"
	// PathFault takes a PUT of a Fault as JSON.
	PathFault = "/fault"
	// PathCounters answers a GET with a JSON object of ClientCounters by remote IP.
	PathCounters = "/counters"
)

// Publish makes a manifest and its values, keyed by digest, the newest publication and returns its revision. It returns
// an error if a value is larger than 1 MiB. Like the platform, it does not interpret the contents.
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
	s.notifyWatches()
	return revision, nil
}

// PublishDirectory publishes a bundle directory, which holds manifest.json and a file values/<sha256> for each value,
// and returns the revision.
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

// SetMembers replaces the member list, after the delay that the current fault sets.
func (s *Server) SetMembers(members []platform.Member) {
	members = append([]platform.Member{}, members...)
	s.mu.Lock()
	s.memberUpdates++
	number := s.memberUpdates
	delay := time.Duration(s.fault.MemberListDelayMS) * time.Millisecond
	s.mu.Unlock()
	if delay == 0 {
		s.applyMembers(number, members)
		return
	}
	time.AfterFunc(delay, func() { s.applyMembers(number, members) })
}

// applyMembers replaces the member list with the update of the given number, unless a later update has already been
// applied. Without this check a delayed update could replace a newer list. The empty initial list has revision 1, so
// update n has revision n+1.
func (s *Server) applyMembers(number uint64, members []platform.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number+1 <= s.members.Revision {
		return
	}
	s.members = platform.MemberList{Revision: number + 1, Members: members}
	s.notifyWatches()
}

// handleControl serves the control port.
func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	switch method, path := string(ctx.Method()), string(ctx.Path()); method + " " + path {
	case "POST " + PathPublish:
		s.handlePublish(ctx)
	case "PUT " + PathMembers:
		var members []platform.Member
		if decodeBody(ctx, &members) {
			s.SetMembers(members)
		}
	case "PUT " + PathFault:
		var f Fault
		if decodeBody(ctx, &f) {
			s.handleSetFault(ctx, f)
		}
	case "GET " + PathCounters:
		respondJSON(ctx, s.CountersByIP())
	default:
		ctx.Error("unknown control call", fasthttp.StatusNotFound)
	}
}

func (s *Server) handlePublish(ctx *fasthttp.RequestCtx) {
	var request struct {
		Directory string `json:"directory"`
	}
	if !decodeBody(ctx, &request) {
		return
	}
	revision, err := s.PublishDirectory(request.Directory)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	respondJSON(ctx, map[string]uint64{"revision": revision})
}

func (s *Server) handleSetFault(ctx *fasthttp.RequestCtx, f Fault) {
	switch f.Kind {
	case FaultNone, FaultDown, FaultFrozen, FaultStale:
		s.SetFault(f)
	default:
		ctx.Error(fmt.Sprintf("unknown fault %q", f.Kind), fasthttp.StatusBadRequest)
	}
}

// decodeBody decodes the JSON body of the request. If that fails, it answers 400 and returns false.
func decodeBody(ctx *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(ctx.PostBody(), target); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func respondJSON(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// ValueDigest returns the digest under which a value is published: its SHA-256 in hexadecimal.
func ValueDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}
