// Package lists holds the operators' two lists: the plans of the workspaces, and
// the pools, routes and data centres that they use. It parses and checks the INI
// files, and computes and applies the changes between two states.
package lists
