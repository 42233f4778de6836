// Package invariants checks the five invariants of the operators, and one of the cluster, against observations of the
// traffic on sockets only: the bytes that proxies received, the endpoint lists that were sent to instances, and the
// attempts that proxies made and replicas received. It uses no state of an instance. The only code that it shares with
// the control plane is the codecs and the types of package model.
//
// Caveats: a message that never arrived is not observed, so messages lost with a broken stream are not counted in the
// queue. A replica that was never listed to an instance is not checked for drains by that instance. Each result states
// how close the run came to a violation, as a ratio to the limit. A ratio above 1 is a violation.
package invariants
