package objstore

import (
	"bytes"
	"context"

	"github.com/cenkalti/backoff/v5"

	"github.com/rockdoor/rockdoor/fault"
)

// PutSettled writes like Store.Put and settles an answer that was lost.
//
// While the outcome is unknown it sends the same conditional write again. The
// repeat is safe, because at most one write can match ifVersion, and both carry
// the same write id. A conflict is then settled by reading back the write id:
// if it is ours, the write was applied.
//
// The error is Conflict only if the write certainly did not take effect, and
// Unknown if the object was overwritten by another writer in between or ctx
// ended before the store answered.
func PutSettled(ctx context.Context, s Store, key string, value []byte, ifVersion Version, writeID string) (Object, error) {
	sentBefore := false
	op := func() (Object, error) {
		obj, err := s.Put(ctx, key, value, ifVersion, writeID)
		switch {
		case err == nil && ofOlderEra(ifVersion, obj):
			return Object{}, backoff.Permanent(overtaken(key))
		case err == nil:
			return obj, nil
		case fault.Is(err, fault.Conflict) && sentBefore:
			return readBack(ctx, s, key, value, ifVersion, writeID)
		case fault.Is(err, fault.Unknown):
			sentBefore = true
			return Object{}, err
		case fault.Is(err, fault.Unavailable) && sentBefore:
			return Object{}, unsettled(err, key, sentBefore)
		default:
			return Object{}, backoff.Permanent(err)
		}
	}
	obj, err := backoff.Retry(ctx, op, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil && fault.KindOf(err) == fault.Internal { // ctx ended between two tries
		return Object{}, unsettled(err, key, sentBefore)
	}
	return obj, err
}

// unsettled is the error of a write whose last try gave no answer.
func unsettled(err error, key string, sentBefore bool) error {
	if !sentBefore {
		return fault.Wrap(err, fault.Unavailable, "write of "+key+" was not sent", "repeat it later")
	}
	return fault.Wrap(err, fault.Unknown, "write of "+key+" is not settled", "read "+key+" before writing it again")
}

// ofOlderEra reports whether a write was made on a condition of an earlier era of the store
// than the one in which it was carried out: there the same number may stand for another write.
func ofOlderEra(ifVersion Version, written Object) bool {
	return ifVersion != 0 && ifVersion.Era() != written.Version.Era()
}

func overtaken(key string) error {
	return fault.Newf(fault.Conflict, "read it again and repeat the change", "%s is of a store that came back from an older copy", key)
}

// readBack decides what became of a write after a repeat of it met a conflict.
func readBack(ctx context.Context, s Store, key string, value []byte, ifVersion Version, writeID string) (Object, error) {
	obj, err := s.Get(ctx, key)
	if err == nil && obj.WriteID == writeID && bytes.Equal(obj.Value, value) {
		if ofOlderEra(ifVersion, obj) {
			return Object{}, backoff.Permanent(overtaken(key))
		}
		return obj, nil
	}
	if err != nil && !fault.Is(err, fault.NotFound) {
		return Object{}, unsettled(err, key, true)
	}
	return Object{}, backoff.Permanent(fault.Newf(fault.Unknown,
		"read the object and its history before writing it again",
		"write %s of %s was lost and the object has been overwritten since", writeID, key))
}
