package org.bramleyscale.internal.steward;

import java.util.List;

/**
 * The steward as a state dump shows it.
 *
 * @param held whether this daemon holds the lease
 * @param number the fencing number, or 0
 * @param loading how many loads are under way
 * @param waiting endpoints that get no order yet, since a late one may still arrive there
 */
record StewardView(boolean held, long number, long loading, List<String> waiting) {

	static final StewardView IDLE = new StewardView(false, 0, 0, List.of());

}
