// Package standin implements small fakes of the platform (the log service, the
// instance list and the weight store) and of the endpoints (the model engine
// and the plain service), and a fake network. goldcrest-standin serves the
// fakes over HTTP; tests and measurements use them in-process. The state of
// each service is owned by one control loop, like that of every other part of
// the fleet.
package standin
