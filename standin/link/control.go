package link

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// ByteCountEntry is an element of the response to GET /counts on the control port.
type ByteCountEntry struct {
	Endpoints
	ByteCount
}

// ModeRequest is the body of PUT /mode on the control port. Address is the listen address of the link to change.
type ModeRequest struct {
	Address string `json:"address"`
	Mode    Mode   `json:"mode"`
}

// ControlHandler returns the handler of a control port, through which a test driver in another process reads the byte
// counts of all links (GET /counts) and changes the mode of one link (PUT /mode).
func ControlHandler(links []*Link) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		counts := []ByteCountEntry{}
		for _, l := range links {
			for endpoints, c := range l.ByteCounts() {
				counts = append(counts, ByteCountEntry{Endpoints: endpoints, ByteCount: c})
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counts)
	})
	mux.HandleFunc("PUT /mode", func(w http.ResponseWriter, r *http.Request) {
		if err := setMode(links, r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

func setMode(links []*Link, r *http.Request) error {
	var request ModeRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		return err
	}
	switch request.Mode {
	case ModeNormal, ModeCut, ModeFrozen, ModeFrozenForward, ModeFrozenBackward:
	default:
		return fmt.Errorf("mode %q is none of \"\", %q, %q, %q, %q",
			request.Mode, ModeCut, ModeFrozen, ModeFrozenForward, ModeFrozenBackward)
	}
	for _, l := range links {
		if l.Address() == request.Address {
			l.SetMode(request.Mode)
			return nil
		}
	}
	return fmt.Errorf("no link listens on %q", request.Address)
}
