/**
 * Plays the gateway's placement on modelled engines, so that a policy is judged in
 * seconds over many seeds.
 *
 * <p>
 * What is real: the placement, the trackers of load and demand, and the updates between
 * daemons with their delay. What is modelled: engines in passes, arrivals, lengths. What
 * is left out: the network, repeats, memory held at other engines, failures.
 */
package org.bramleyscale.bench.experiment;
