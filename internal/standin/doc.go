// Package standin implements small stand-ins for the platform (the log service,
// the instance list and the weight store) and for the endpoints (the model engine
// and the plain service), and a fake network. goldcrest-standin serves the
// stand-ins over HTTP; tests and measurements use them in-process. The state of
// each stand-in is owned by one control loop, like that of every other part of
// the fleet.
package standin
