// Package pipe chains filters into pipelines. A filter does one job on a
// request and passes it to the next one; a pipeline is a list of filters.
package pipe
