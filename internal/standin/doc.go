// Package standin holds small fakes of the platform: the log service, the
// instance list, the model engine and the plain service. goldcrest-standin
// serves them over HTTP; tests and measurements use them in-process. Each is
// one control loop, like every other part of the fleet.
package standin
