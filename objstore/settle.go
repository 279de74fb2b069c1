package objstore

import (
	"bytes"
	"context"

	"github.com/cenkalti/backoff/v5"

	"github.com/rockdoor/rockdoor/fault"
)

// PutSettled writes like Store.Put and, if the response is lost, determines
// whether the write took effect.
//
// While the outcome is unknown, PutSettled retries the same conditional write. A
// retry is safe because at most one write can match ifVersion and all attempts
// carry the same write ID. If a retry fails with a conflict, the object is read
// back: the write was applied if the object has its write ID.
//
// The error is Conflict if the write did not take effect. It is Unknown if another
// writer may have overwritten the object in between, or if ctx ended before the
// store responded. It is Unknown and ErrOtherEra if the write took effect in another
// era of the store than the one in which its condition was read.
func PutSettled(ctx context.Context, s Store, key string, value []byte, ifVersion Version, writeID string) (Object, error) {
	maybeApplied := false
	op := func() (Object, error) {
		obj, err := s.Put(ctx, key, value, ifVersion, writeID)
		switch {
		case err == nil && conditionFromOtherEra(ifVersion, obj):
			return Object{}, backoff.Permanent(errStoreRestored(key))
		case err == nil:
			return obj, nil
		case fault.Is(err, fault.Conflict) && maybeApplied:
			return readBack(ctx, s, key, value, ifVersion, writeID)
		case fault.Is(err, fault.Unknown):
			maybeApplied = true
			return Object{}, err
		case fault.Is(err, fault.Unavailable) && maybeApplied:
			return Object{}, noResponse(err, key, maybeApplied)
		default:
			return Object{}, backoff.Permanent(err)
		}
	}
	obj, err := backoff.Retry(ctx, op, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil && fault.KindOf(err) == fault.Internal { // ctx ended between two attempts
		return Object{}, noResponse(err, key, maybeApplied)
	}
	return obj, err
}

// noResponse returns the error of a write whose last attempt got no response.
// maybeApplied says that an earlier attempt may have taken effect.
func noResponse(err error, key string, maybeApplied bool) error {
	if !maybeApplied {
		return fault.Wrap(err, fault.Unavailable, "write of "+key+" was not sent", "repeat it later")
	}
	return fault.Wrap(err, fault.Unknown, "write of "+key+" is not settled", "read "+key+" before writing it again")
}

// conditionFromOtherEra reports whether a write was carried out in another era of the store than
// the one that its condition was read in. In the new era, the number in the condition may identify
// a different write.
func conditionFromOtherEra(ifVersion Version, written Object) bool {
	return ifVersion != 0 && ifVersion.Era() != written.Version.Era()
}

// ErrOtherEra marks the error of a write that took effect in another era of the store than the one in
// which its condition was read. It may have replaced an object that its writer has never read.
var ErrOtherEra = fault.New(fault.Unknown, "write took effect in another era of the store", "read the object and its history before writing it again")

func errStoreRestored(key string) error {
	return fault.Wrap(ErrOtherEra, fault.Unknown, key+" was read before the store was restored from an older snapshot", "read it and its history before writing it again")
}

// readBack determines whether a write took effect after a retry of it failed with
// a conflict.
func readBack(ctx context.Context, s Store, key string, value []byte, ifVersion Version, writeID string) (Object, error) {
	obj, err := s.Get(ctx, key)
	if err == nil && obj.WriteID == writeID && bytes.Equal(obj.Value, value) {
		if conditionFromOtherEra(ifVersion, obj) {
			return Object{}, backoff.Permanent(errStoreRestored(key))
		}
		return obj, nil
	}
	if err != nil && !fault.Is(err, fault.NotFound) {
		return Object{}, noResponse(err, key, true)
	}
	return Object{}, backoff.Permanent(fault.Newf(fault.Unknown,
		"read the object and its history before writing it again",
		"the response to write %s of %s was lost and the object has been overwritten since", writeID, key))
}
