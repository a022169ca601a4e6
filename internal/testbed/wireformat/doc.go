// Package wireformat encodes what the model answers as the bytes of the protocol, and decodes what nodes send. It has no
// clock and no I/O: the emulator uses it with sockets, the simulation with virtual connections.
package wireformat
