package org.bramleyscale.internal.request;

/**
 * The parts that requests whose home is here share.
 *
 * @param records the records
 * @param spent caller-chosen ids that were used
 * @param ids issues ids
 * @param flow takes requests from their place to their end
 */
record RequestParts(RecordStore records, SpentIds spent, RequestIds ids, RequestFlow flow) {
}
