/**
 * The demonstration: a whole small fleet in one process, a mixed load, and a count of
 * what became of each request.
 */
package org.bramleyscale.daemon.demo;
