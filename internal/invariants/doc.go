// Package invariants checks the five invariants of the operators, and one of the cluster, against what went over
// sockets and nothing else: the bytes that proxies were sent, the endpoint lists that instances were given, the
// attempts that proxies made and that replicas received. It knows no instance's state and shares no code with one but
// the codecs.
//
// Caveats: a message that never arrived is not seen, so what waited for a broken stream is not counted in the queue. A
// replica that was never in a list handed to an instance cannot drain for it. How near a run came to breaking an
// invariant is given as a share of its limit; above 1 it was broken.
package invariants
