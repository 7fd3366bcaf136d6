package org.bramleyscale.internal.endpoint.reservation;

import java.util.List;

import org.bramleyscale.internal.endpoint.HeldMemory;

/**
 * A reservation as operators see it.
 *
 * @param request the request
 * @param kvTokens memory needed in all
 * @param complete whether all of it is held
 * @param held what is held
 * @param waitsFor what is asked for, or null
 */
record ReservationDump(String request, long kvTokens, boolean complete, List<HeldMemory> held, HeldMemory waitsFor) {

	static final int LONGEST = 100;

}
