/**
 * The routes, services, client accounts and limits that relayed requests follow.
 */
package org.bramleyscale.internal.gateway.catalog;
