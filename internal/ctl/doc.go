// Package ctl implements dragonflyctl, the operators' command line. It sends
// HTTP requests to the admin listeners of keepers and routers and starts no
// other process: the edit command takes its changes as arguments and opens no
// editor.
package ctl
