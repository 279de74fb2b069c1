// Package quarantine detects poison requests, which crash the instances that run them, and
// rejects them. A client's retry looks like a new request, so without a quarantine a request that
// has crashed one engine would be sent to the next. Retries are recognized by their fingerprint.
//
// A part of a prompt may crash instances too, in requests of which no two are alike. Each crash therefore
// counts against several causes, the request and the parts of its prompt, and the fewest causes that explain
// all crashes are blamed.
//
// An instance that crashes has other requests in flight, so a single crash proves nothing: a
// request is rejected when several instances have crashed while they ran it and none has completed
// it since, or when many have crashed and only one or two survive it. Parts are cleared by the first event
// of any response. Processes send their
// observations to each other and never withdraw them, so all processes reach the same verdict, in
// whatever order the observations arrive.
package quarantine
