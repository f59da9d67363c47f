package record

import (
	"encoding/json"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func versionInEra(t *testing.T, era, revision uint64) uint64 {
	t.Helper()
	r, err := port.NewStoreRevision(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return uint64(r)
}

// The store is restored from a backup. The version that operators wrote last must be
// in force, whether the backup lacks it or it was written after the restore.
func TestOverridesStored(t *testing.T) {
	held := func(era, revision uint64, body string) port.Record {
		return port.Record{Version: versionInEra(t, era, revision), Body: json.RawMessage(body), Deleted: body == ""}
	}
	cases := []struct {
		name          string
		held          port.Record
		era, revision uint64
		body          string
		basedOn       []uint64
		want          bool
	}{
		{"older backup", held(1, 60, "new"), 2, 45, "old", []uint64{versionInEra(t, 1, 30)}, true},
		{"backup has the same version", held(1, 45, "old"), 2, 45, "old", []uint64{versionInEra(t, 1, 30)}, false},
		{"backup is newer than the record held", held(1, 40, "old"), 2, 45, "new", []uint64{versionInEra(t, 1, 40)}, false},
		{"same content at a smaller revision", held(1, 60, "same"), 2, 45, "same", []uint64{versionInEra(t, 1, 30)}, false},
		{"written after the restore", held(1, 60, "lost"), 2, 46, "new", []uint64{versionInEra(t, 1, 30), versionInEra(t, 2, 45)}, false},
		{"created after the restore", held(1, 60, "lost"), 2, 46, "new", []uint64{versionInEra(t, 2, 0)}, false},
		{"written between two restores", held(0, 60, "lost"), 2, 46, "new", []uint64{versionInEra(t, 1, 45)}, false},
		{"written based on the record held", held(1, 60, "old"), 2, 20, "new", []uint64{versionInEra(t, 1, 60)}, false},
		{"delete that the backup lacks", held(1, 60, ""), 2, 45, "old", []uint64{versionInEra(t, 1, 30)}, true},
		{"same era", held(2, 60, "new"), 2, 45, "old", []uint64{versionInEra(t, 1, 30)}, false},
		{"earlier era", held(2, 10, "new"), 1, 45, "old", []uint64{versionInEra(t, 1, 30)}, false},
	}
	for _, c := range cases {
		e := &Envelope{Format: EnvelopeFormat, Document: json.RawMessage(c.body)}
		for _, v := range c.basedOn {
			e.Audit = append(e.Audit, AuditEntry{BasedOn: v})
		}
		if got := OverridesStored(&c.held, &port.Object{Version: versionInEra(t, c.era, c.revision)}, e); got != c.want {
			t.Errorf("%s: outlasts %v, want %v", c.name, got, c.want)
		}
	}
}
