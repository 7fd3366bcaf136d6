package org.bramleyscale.internal.endpoint.reservation;

import java.util.List;

import org.bramleyscale.internal.endpoint.HeldMemory;

/**
 * A reservation's state for the operator dump. The names of the components are written to
 * JSON.
 *
 * @param request the request
 * @param kvTokens the total memory needed, in tokens
 * @param complete whether all of it is held
 * @param held the holds that are placed
 * @param waitsFor the hold that is being requested, or null
 */
record ReservationDump(String request, long kvTokens, boolean complete, List<HeldMemory> held, HeldMemory waitsFor) {

	static final int MAX_LISTED = 100;

}
