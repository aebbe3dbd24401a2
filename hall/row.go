package hall

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"hollyfork.example/hollyfork/store"
	"hollyfork.example/wire"
)

// rowTable is the table that contains the rows of all halls. All rows are in one partition, so that one
// transaction can change any of them.
const rowTable = "halls"

var (
	// ConfigKey is the key of the row with the configuration.
	ConfigKey = rowKey("config/head")
	// ConfigVersionKey is the key of a row with only the configuration's version, for readers that check
	// whether there is a newer one. The two rows are written together.
	ConfigVersionKey = rowKey("config/version")
)

func rowKey(name string) store.Key {
	return store.Key{Table: rowTable, Name: name}
}

// prefixRange returns the range of the rows whose names have a prefix.
func prefixRange(prefix string) store.Range {
	return store.Range{Table: rowTable, From: prefix, To: prefix + "~"}
}

// LeaseKey returns the key of the row with the lease of a hall's holder.
func LeaseKey(hall string) store.Key {
	return rowKey("hall/" + hall + "/lease")
}

// ClaimKey returns the key of the row that assigns a job to a hall.
func ClaimKey(id string) store.Key {
	return rowKey("claim/" + id)
}

func livePrefix(hall string) string {
	return "job/" + hall + "/"
}

func liveKey(hall, id string) store.Key {
	return rowKey(livePrefix(hall) + id)
}

func endedPrefix(hall string) string {
	return "ended/" + hall + "/"
}

// endedKey returns the key of an ended job's row. The keys sort by the positions in the change stream at
// which the jobs ended.
func endedKey(hall string, position uint64, id string) store.Key {
	return rowKey(fmt.Sprintf("%s%016x/%s", endedPrefix(hall), position, id))
}

func encode(m proto.Message) []byte {
	content, err := proto.Marshal(m)
	if err != nil {
		// Marshal fails only on invalid UTF-8, and the strings of requests are validated.
		panic(err)
	}
	return content
}

func decode(row store.Row, m proto.Message) error {
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return &Error{Op: "decode " + row.Key.Name, Kind: KindCorrupt, Err: err}
	}
	return nil
}

// ReadLease reads the lease of a hall's holder and the version of its row. The version is 0 if the hall has
// never had a holder.
func ReadLease(ctx context.Context, s store.Reader, hall string) (*wire.HolderLease, uint64, error) {
	row, err := store.Get(ctx, s, LeaseKey(hall))
	if err != nil {
		return nil, 0, &Error{Op: "read lease", Kind: KindStore, Err: err}
	}
	lease := &wire.HolderLease{}
	return lease, row.Version, decode(row, lease)
}

// ReadConfig reads the configuration and the version of its row. Before the first change the configuration
// is empty and the version is 0.
func ReadConfig(ctx context.Context, s store.Reader) (*wire.Configuration, uint64, error) {
	row, err := store.Get(ctx, s, ConfigKey)
	if err != nil {
		return nil, 0, &Error{Op: "read configuration", Kind: KindStore, Err: err}
	}
	config := &wire.Configuration{}
	return config, row.Version, decode(row, config)
}

// ReadNewerConfig reads the configuration if it is newer than the known version, and returns nil otherwise.
// It first reads the small row at ConfigVersionKey.
func ReadNewerConfig(ctx context.Context, s store.Reader, known uint64) (*wire.Configuration, error) {
	row, err := store.Get(ctx, s, ConfigVersionKey)
	if err != nil {
		return nil, &Error{Op: "read configuration's version", Kind: KindStore, Err: err}
	}
	head := &wire.Configuration{}
	if err := decode(row, head); err != nil || head.GetVersion() <= known {
		return nil, err
	}
	config, _, err := ReadConfig(ctx, s)
	return config, err
}

// ConfigVersionRow returns the content of the row at ConfigVersionKey.
func ConfigVersionRow(version uint64) []byte {
	return encode(&wire.Configuration{Version: version})
}

// ReadJob reads a job, whatever hall it is in. The result found is false if the job does not exist.
func ReadJob(ctx context.Context, s store.Reader, id string) (job *wire.StoredJob, found bool, err error) {
	row, err := store.Get(ctx, s, ClaimKey(id))
	if err != nil || row.Version == 0 {
		return nil, false, storeError("read claim", err)
	}
	claim := &wire.Claim{}
	if err := decode(row, claim); err != nil {
		return nil, false, err
	}
	for _, key := range possibleKeys(claim, id) {
		row, err = store.Get(ctx, s, key)
		if err != nil {
			return nil, false, storeError("read job", err)
		}
		if row.Version > 0 {
			job = &wire.StoredJob{}
			return job, true, decode(row, job)
		}
	}
	return nil, false, nil
}

// possibleKeys returns the keys at which a claimed job's row can be. They are in the order in which the row
// moves through them, so that a reader that checks them in turn does not miss it.
func possibleKeys(claim *wire.Claim, id string) []store.Key {
	if claim.GetEndedKey() != "" {
		return []store.Key{rowKey(claim.GetEndedKey())}
	}
	live := liveKey(claim.GetHall(), id)
	return []store.Key{movedKey(claim.GetHall(), id), live}
}

func storeError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: KindStore, Err: err}
}
