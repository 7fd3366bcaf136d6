/**
 * The life of one relayed request, from its arrival to its only answer.
 */
package org.bramleyscale.internal.gateway.request;
