package entry

import (
	"encoding/json"
	"math"
	"strings"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
)

// maxKVNameBytes limits the name of an exported KV cache, which is sent in a header.
const maxKVNameBytes = 256

// parseKVExport decodes the body of a response to a prefill request. Its name can be sent in a header without change.
func parseKVExport(body []byte) (openai.KVExport, error) {
	var kv openai.KVExport
	err := json.Unmarshal(body, &kv)
	invalid := strings.ContainsFunc(kv.KV, func(r rune) bool { return r <= ' ' || r >= 0x7f })
	if err != nil || invalid || kv.KV == "" || len(kv.KV) > maxKVNameBytes || kv.PromptTokens <= 0 || kv.PromptTokens > math.MaxInt32 {
		return openai.KVExport{}, fault.New(fault.Unavailable, "engine exported no valid KV cache", "the target of the request prefills the prompt")
	}
	return kv, nil
}
