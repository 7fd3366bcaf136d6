/**
 * A stand-in for a model engine, with a deterministic core and faults on order.
 */
package org.bramleyscale.standins.engine;
