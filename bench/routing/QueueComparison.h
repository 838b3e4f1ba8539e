// A seeded queue simulation of several entries that send requests to the
// upstreams of one zone.
#ifndef SAMPHIREHILL_BENCH_ROUTING_QUEUECOMPARISON_H
#define SAMPHIREHILL_BENCH_ROUTING_QUEUECOMPARISON_H

// Prints the waiting times with route(), with round robin and with the choice
// of the upstream that has the fewest calls of the entry itself. The simulation
// has 8 entries, 48 upstreams of 4 slots each, of which 4 upstreams are half as
// fast as the rest, and load reports every 500 ms, at three levels of load.
void compareQueues();

#endif // SAMPHIREHILL_BENCH_ROUTING_QUEUECOMPARISON_H
