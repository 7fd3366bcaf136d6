/**
 * A stand-in for the platform that implements its object API and list of VMs in memory
 * and over HTTP.
 */
package org.bramleyscale.standins.platform;
