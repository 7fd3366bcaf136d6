package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;

/**
 * An entry's use of one endpoint and the capacity it wants of it.
 *
 * @param endpoint the endpoint
 * @param shard the code of the shard the endpoint belongs to according to the entry's
 * configuration
 * @param epoch the epoch of the last grant applied; 0 if none
 * @param grant the number of the last grant applied in that epoch; 0 if none
 * @param heldSlots slots of that grant that the entry may still use; 0 after it expires
 * @param heldKv KV tokens of that grant that the entry may still use; 0 after it expires
 * @param inFlight requests that the entry has in flight at the endpoint
 * @param kvInUse the most KV tokens that its requests in flight may need
 * @param slotsWanted slots it wants in total
 * @param kvWanted KV tokens it wants in total
 * @param kvLargest KV tokens of the largest waiting request; 0 if none waits
 * @param leaving whether the entry knows that the endpoint is leaving
 * @param models the hash of the newest model list that the entry has; 0 if none
 * @param collection the number of the latest memory collection received with a grant
 * (freed memory being set aside for a waiting reservation); 0 if none
 * @param kvBeforeCollection KV tokens of its requests started before it received that
 * number
 */
public record DemandItem(EndpointId endpoint, int shard, long epoch, long grant, int heldSlots, long heldKv,
		int inFlight, long kvInUse, int slotsWanted, long kvWanted, long kvLargest, boolean leaving, int models,
		int collection, long kvBeforeCollection) {
}
