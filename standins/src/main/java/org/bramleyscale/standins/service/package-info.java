/**
 * A stand-in for a plain service that takes bookings, with faults on order.
 */
package org.bramleyscale.standins.service;
