package table_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"hollyfork.example/hollyfork/platform"
	"hollyfork.example/hollyfork/platform/standin"
	"hollyfork.example/hollyfork/table"
)

func guard(version int64, value string) table.Guard {
	return table.Guard{
		Key:     "guard",
		Version: version,
		Value:   []byte(value),
		Mine:    func(row platform.Row) (bool, error) { return bytes.Equal(row.Value, []byte(value)), nil },
	}
}

func TestCommitSettlesWhatTheStoreDoes(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		trouble bool
	}{
		{"healthy", standin.Faults{}, false},
		{"lost answer", standin.Faults{LoseAnswers: 1}, false},
		{"two lost requests", standin.Faults{DropRequests: 2}, true},
		{"lost request, then lost answer", standin.Faults{DropRequests: 1, LoseAnswers: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := standin.New(nil, 0)
			server := httptest.NewServer(p)
			defer server.Close()
			p.SetFaults(standin.ServiceTable, test.faults)
			troubled := false
			txn := platform.Txn{Writes: []platform.Write{{Key: "row", Value: []byte("v")}}}
			version, err := table.Commit(context.Background(), platform.NewTable(server.URL), guard(0, "mine"), txn, func(error) { troubled = true })
			is.NoErr(err)
			is.Equal(version, p.Table.Get("guard").Version)
			is.Equal(p.Table.Counts().RowsWritten, int64(2)) // took effect once
			is.Equal(troubled, test.trouble)
		})
	}
}

func TestCommitLosesToAnother(t *testing.T) {
	is := is.New(t)
	p := standin.New(nil, 0)
	server := httptest.NewServer(p)
	defer server.Close()
	store := platform.NewTable(server.URL)
	_, err := table.Commit(context.Background(), store, guard(0, "first"), platform.Txn{}, nil)
	is.NoErr(err)
	_, err = table.Commit(context.Background(), store, guard(0, "second"), platform.Txn{}, nil)
	is.Equal(table.KindOf(err), table.KindLost)
	is.Equal(string(p.Table.Get("guard").Value), "first")
}

func TestCommitGivesUpWithItsContext(t *testing.T) {
	is := is.New(t)
	p := standin.New(nil, 0)
	server := httptest.NewServer(p)
	defer server.Close()
	p.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := table.Commit(ctx, platform.NewTable(server.URL), guard(0, "mine"), platform.Txn{}, nil)
	is.Equal(table.KindOf(err), table.KindUnsettled)
}
