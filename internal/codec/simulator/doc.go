// Package simulator reads and writes the binary frames of the operators' simulator and decodes its settings.
//
// The simulator sends batches of events for one or several instances of the balancer. The response to each batch is one
// reply with the actions of the instances. A frame is little-endian and has a header, records of one size, and a tail
// for data of variable size. Records refer to the tail by offset and length. The operators' page of the simulator
// interface describes the frames; the comments on the codes contain the names of that page.
package simulator
