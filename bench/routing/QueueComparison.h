// A seeded simulation of several entries in front of one zone's upstreams.
#ifndef SAMPHIREHILL_BENCH_ROUTING_QUEUECOMPARISON_H
#define SAMPHIREHILL_BENCH_ROUTING_QUEUECOMPARISON_H

// Prints the waiting times with route(), round robin and least own load: 8
// entries, 48 upstreams of 4 slots each of which 4 are half as fast, load
// reports every 500 ms, at three levels of load.
void compareQueues();

#endif // SAMPHIREHILL_BENCH_ROUTING_QUEUECOMPARISON_H
