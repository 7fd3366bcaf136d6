package org.bramleyscale.standins.service;

/**
 * One booking.
 *
 * @param number its number, from 1
 * @param requestId the id of the request that made it, or an empty text
 * @param text what was booked
 */
public record Booking(int number, String requestId, String text) {
}
