/**
 * The HTTP server that stand-ins share.
 */
package org.bramleyscale.standins.http;
