/**
 * Keeps requests away from data centres that the operator evacuates.
 */
package org.bramleyscale.internal.gateway.evacuation;
