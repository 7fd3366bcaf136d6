/**
 * A caller that behaves as callers should, and a seeded mixed load.
 */
package org.bramleyscale.daemon.demo.load;
