package fleetstore

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
)

// tokenStart begins the token that stands for the text of an entry.
const tokenStart = `"raw entry `

// SetInstanceText writes an entry of another writer among those of the instances. Clients read the text as it is in place of
// the object, even if it is nested more deeply than JSON encoders allow.
func (s *Server) SetInstanceText(name, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rawEntries == nil {
		s.rawEntries = map[string]string{}
	}
	token := tokenStart + strconv.Itoa(len(s.rawEntries)) + `"`
	s.rawEntries[token] = text
	s.putObject(kindInstances, name, nil, token)
}

// MarshalJSON implements json.Marshaler. The token of an object with a text stands for the text.
func (o object) MarshalJSON() ([]byte, error) {
	if o.token != "" {
		return []byte(o.token), nil
	}
	type plain object
	return json.Marshal(plain(o))
}

// reply sends a document, in which the texts of raw entries replace their tokens.
func (s *Server) reply(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for at := bytes.Index(text, []byte(tokenStart)); at >= 0; at = bytes.Index(text, []byte(tokenStart)) {
		end := at + len(tokenStart) + bytes.IndexByte(text[at+len(tokenStart):], '"') + 1
		s.mu.Lock()
		raw := s.rawEntries[string(text[at:end])]
		s.mu.Unlock()
		text = slices.Concat(text[:at], []byte(raw), text[end:])
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // fails only if the client has disconnected
}
