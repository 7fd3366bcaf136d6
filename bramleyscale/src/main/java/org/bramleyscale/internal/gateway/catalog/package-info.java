/**
 * The configured routes, services, client accounts and limits of forwarded requests.
 */
package org.bramleyscale.internal.gateway.catalog;
