/**
 * Plays the gateway's placement on modelled engines, so that a policy is judged in
 * seconds over many seeds.
 *
 * <p>
 * What is real: the placement, the boards of load and demand, and what daemons tell each
 * other with its delay. What is modelled: engines in passes, arrivals, lengths. What is
 * left out: the network, repeats, memory held at other engines, failures.
 */
package org.bramleyscale.bench.experiment;
