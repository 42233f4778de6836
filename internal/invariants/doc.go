// Package invariants checks the five invariants of the operators, and one of the cluster, against what went over
// sockets only: the bytes that proxies received, the endpoint lists that instances were sent, and the attempts that
// proxies made and replicas received. It uses no state of an instance and shares no code with the control plane but the
// codecs and plain types.
//
// Caveats: a message that never arrived is not observed, so messages lost with a broken stream are not counted in the
// queue. A replica that was never listed to an instance cannot drain for it. How near a run came to violating an
// invariant is given as a share of its limit; above 1 it was violated.
package invariants
