// Package pipe chains filters into pipelines. A pipeline is a list of filters, each
// of which does one step in the processing of a request and passes the request to
// the next filter.
package pipe
