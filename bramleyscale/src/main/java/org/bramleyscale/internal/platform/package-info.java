/**
 * The platform's object API as a port, with its adapters.
 */
package org.bramleyscale.internal.platform;
