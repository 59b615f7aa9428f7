"""The front on real sockets. It executes and reports; the decision module makes every decision."""
