// Package lists holds the operators' two lists: the plans that workspaces hold
// and what each plan may use. It parses and checks the INI files, and works out
// and applies the changes between two states.
package lists
