// Package simulator reads and writes the binary frames of the operators' simulator and decodes its settings.
//
// The simulator sends batches of events for one or several instances of the balancer; each batch is answered by one
// reply with the instances' actions. Frames are little-endian: a header, then records of one size, then a tail with all
// that has no fixed size, to which records point by offset and length. The operators' page of the simulator interface
// describes them; the codes below have the names of that page.
package simulator
