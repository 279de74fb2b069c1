// Package quarantine finds requests that end the instances that run them. Each try of a
// caller is a new request to everybody who sees it, so that one that crashes an engine is
// sent to the next one; what is the same in all tries is their fingerprint.
package quarantine
