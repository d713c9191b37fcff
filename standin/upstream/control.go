package upstream

import (
	"encoding/json"
	"net/http"
)

// controlHandler returns the handler of the control port for a test driver: GET /records returns the call records,
// PUT /behaviour sets the behaviour and POST /chill makes the upstream cold.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Records())
	})
	mux.HandleFunc("PUT /behaviour", func(w http.ResponseWriter, r *http.Request) {
		var b Behaviour
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetBehaviour(b)
	})
	mux.HandleFunc("POST /chill", func(http.ResponseWriter, *http.Request) { s.MakeCold() })
	return mux
}
