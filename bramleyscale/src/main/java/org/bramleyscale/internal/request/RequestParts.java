package org.bramleyscale.internal.request;

/**
 * The collaborators shared by all requests whose home is this daemon.
 *
 * @param records the store of request records
 * @param usedIds the used caller-chosen ids of not-repeatable requests
 * @param ids the issuer of request ids
 * @param flow the controller of admitted requests
 */
record RequestParts(RecordStore records, UsedIds usedIds, RequestIds ids, RequestFlow flow) {
}
