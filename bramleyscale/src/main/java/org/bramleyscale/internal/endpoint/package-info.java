/**
 * The exact account of each endpoint, kept by its owner.
 */
package org.bramleyscale.internal.endpoint;
