"""The front on real sockets. It carries out and reports; every decision is the module's."""
