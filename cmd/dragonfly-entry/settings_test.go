package main

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/testkit/settingspage"
)

func TestSettingsPageIsComplete(t *testing.T) {
	missing, err := settingspage.Missing("../../docs/operations/settings.md", settingspage.Rows(defaults()))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range missing {
		t.Errorf("docs/operations/settings.md lacks: %s", line)
	}
}
