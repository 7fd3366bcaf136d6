package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;

/**
 * What an entry uses and wants of one endpoint.
 *
 * @param endpoint the endpoint
 * @param shard the code of the shard the endpoint belongs to by the entry's configuration
 * @param epoch the epoch of the last grant applied; 0 if none
 * @param grant the number of the last grant applied in that epoch; 0 if none
 * @param heldSlots slots the entry may still use under that grant; 0 once it expired
 * @param heldKv KV tokens the entry may still use under that grant; 0 once it expired
 * @param inFlight requests it has there now
 * @param kvInUse KV tokens its requests there may need at most
 * @param slotsWanted slots it wants in all
 * @param kvWanted KV tokens it wants in all
 * @param kvLargest KV tokens of the largest request that waits; 0 if none waits
 * @param leaving whether the entry knows that the endpoint is leaving
 * @param models the hash of the model list the entry knows; 0 if none
 * @param collection the collection of memory that the entry heard of last; 0 if none
 * @param olderKv KV tokens of its requests begun before it heard of that collection
 */
public record DemandItem(EndpointId endpoint, int shard, long epoch, long grant, int heldSlots, long heldKv,
		int inFlight, long kvInUse, int slotsWanted, long kvWanted, long kvLargest, boolean leaving, int models,
		int collection, long olderKv) {
}
