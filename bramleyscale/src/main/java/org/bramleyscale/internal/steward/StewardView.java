package org.bramleyscale.internal.steward;

import java.util.List;

/**
 * The state dump of the steward.
 *
 * @param held whether this daemon holds the lease
 * @param number the fencing number, or 0 if there is no tenure
 * @param loading the number of loads in progress
 * @param waiting endpoints to which no order is sent yet, since a late order of an
 * earlier holder may still arrive at them
 */
record StewardView(boolean held, long number, long loading, List<String> waiting) {

	static final StewardView IDLE = new StewardView(false, 0, 0, List.of());

}
