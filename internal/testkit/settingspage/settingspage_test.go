package settingspage

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

func TestMissingReportsAbsentAndDifferentRows(t *testing.T) {
	type nested struct {
		A int `json:"a"`
	}
	type common struct {
		Wait time.Duration `json:"wait"`
	}
	type all struct {
		common
		Nested   nested  `json:"nested"`
		Optional *nested `json:"optional"`
		Name     string  `json:"name"`
	}
	page := filepath.Join(t.TempDir(), "page.md")
	text := "| `wait` | 2h | x |\n| `nested.a` | 4 | x |\n"
	if err := os.WriteFile(page, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Missing(page, Rows(all{common: common{Wait: 2 * time.Hour}, Nested: nested{A: 3}}))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"| `nested.a` | 3 |", "| `optional.a` |  |", "| `name` |  |"}
	if !slices.Equal(got, want) {
		t.Fatalf("got %q", got)
	}
}
