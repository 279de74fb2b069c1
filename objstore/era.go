package objstore

// A store that comes back from an older copy of itself gives revisions out again. Where it counts
// its eras, a Version or Revision holds the era above the store's own number, so that all that
// compares them, in any process, orders by era first. Without eras both are the store's number.
const eraShift = 44

// mostEra is the highest era that a Version can hold.
const mostEra = 1<<(63-eraShift) - 1

// tokenShift leaves room for 4 billion fencing tokens in an era, and tokens exact in JSON numbers.
const tokenShift = 32

// ValidEra reports whether an era can be held.
func ValidEra(era int64) bool { return era >= 0 && era <= mostEra }

// InEra returns a number that a store gave in an era as a part of the order over all eras.
func InEra(era, number int64) int64 { return era<<eraShift | number }

// Era returns the era of the store in which a version was given.
func (v Version) Era() int64 { return int64(v) >> eraShift }

// Number returns the store's own number of a version.
func (v Version) Number() int64 { return int64(v) & (1<<eraShift - 1) }

// Era returns the era of the store in which a revision was given.
func (r Revision) Era() int64 { return int64(r) >> eraShift }

// Number returns the store's own number of a revision.
func (r Revision) Number() int64 { return int64(r) & (1<<eraShift - 1) }

// EraCounter is a store that counts how often it has come back from an older copy.
type EraCounter interface {
	// Era returns the era of the store's answers so far, 0 if they named none.
	Era() int64
}

// EraOf returns the era of a store, 0 if it counts none.
func EraOf(s Store) int64 {
	if c, ok := s.(EraCounter); ok {
		return c.Era()
	}
	return 0
}

// TokenBase returns a number that is at least as high as all fencing tokens of earlier eras: what
// a copy of the store says of them may be older than what was granted.
func TokenBase(era int64) int64 { return era << tokenShift }
