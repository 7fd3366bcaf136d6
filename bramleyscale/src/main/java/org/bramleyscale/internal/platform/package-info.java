/**
 * The platform's object API: interface and HTTP client.
 */
package org.bramleyscale.internal.platform;
