package engine

import "github.com/ansel1/merry/v2"

// errUsedID is returned for a generation id that is barred or already in use.
var errUsedID = merry.Sentinel("engine: the generation id is barred or already in use")
