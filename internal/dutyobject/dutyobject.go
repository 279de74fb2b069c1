// Package dutyobject keeps an object in the store that only the holder of the duties writes.
package dutyobject

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// callTimeout limits one call of the store, and retryInterval is the minimum time between two calls of which the first
	// failed.
	callTimeout   = time.Second
	retryInterval = time.Second
)

// Options of an Object.
type Options struct {
	Store objstore.Store
	// Key is the key of the object, Writer identifies this run of the process in its writes.
	Key, Writer string
	Authority   duty.Granter
	Logger      log.Logger
}

// Object is an object with a value of type T, encoded as JSON. Only one goroutine may use it.
type Object[T any] struct {
	o       Options
	triedAt time.Time
	// token is the fencing token under which the object was read, 0 if it has to be read again. version and value are what
	// it was then, or was written as.
	token   int64
	version objstore.Version
	value   T
}

// New returns an object.
func New[T any](o Options) *Object[T] { return &Object[T]{o: o} }

// Update writes the value that next returns for the stored one, if next reports that it differs and this process holds the
// duties. Failures are logged, and the next call tries again.
func (o *Object[T]) Update(ctx context.Context, next func(stored T) (T, bool)) {
	g, ok := o.o.Authority.Grant()
	if !ok || o.token == 0 && time.Since(o.triedAt) < retryInterval {
		return
	}
	if o.token != g.Token {
		if _, err := o.Read(ctx); err != nil {
			level.Info(o.o.Logger).Log("msg", "object not read from the store", "key", o.o.Key, "err", err)
			return
		}
		o.token = g.Token
	}
	value, changed := next(o.value)
	if !changed {
		return
	}
	err := o.write(ctx, value)
	if err != nil {
		o.token = 0 // the version is unknown
	}
	level.Info(o.o.Logger).Log("msg", "object written to the store", "key", o.o.Key, "token", g.Token, "err", err)
}

// Reread has the next call of Update read the object first.
func (o *Object[T]) Reread() { o.token = 0 }

// Read reads the object. Its value is zero if it does not exist, or can't be parsed.
func (o *Object[T]) Read(ctx context.Context) (T, error) {
	o.triedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := o.o.Store.Get(ctx, o.o.Key)
	var value T
	o.token, o.version, o.value = 0, 0, value
	if fault.Is(err, fault.NotFound) {
		return value, nil
	}
	if err != nil {
		return value, err
	}
	o.version = obj.Version
	if err := json.Unmarshal(obj.Value, &value); err != nil {
		level.Error(o.o.Logger).Log("msg", "object in the store cannot be parsed; it is written anew", "key", o.o.Key, "err", err)
		return o.value, nil
	}
	o.value = value
	return value, nil
}

func (o *Object[T]) write(ctx context.Context, value T) error {
	o.triedAt = time.Now()
	text, err := json.Marshal(value)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "object "+o.o.Key+" cannot be encoded", "report this as a defect")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := o.o.Store.Put(ctx, o.o.Key, text, o.version, o.o.Writer)
	if err != nil {
		return err
	}
	o.version, o.value = obj.Version, value
	return nil
}
