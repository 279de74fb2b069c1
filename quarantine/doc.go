// Package quarantine finds requests that end the instances that run them, and keeps them
// from further ones. Each try of a caller is a new request to everybody who sees it, so that
// one that crashes an engine would be sent to the next; what is the same in all tries is
// their fingerprint.
//
// An instance that ends has other requests in hand, so that one end accuses nobody: a
// request is refused when several instances have ended under it and none has run it to a good
// end since. What processes observe is told to the others and never taken back, so that all of
// them come to the same verdict in whatever order they hear of it.
package quarantine
