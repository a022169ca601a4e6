// Package wireformat encodes the responses of the model as bytes of the protocols, and decodes the requests of nodes. It
// has no clock and does no I/O: the emulator uses it with sockets, the simulation with virtual connections.
package wireformat
