package org.bramleyscale.internal.status;

import org.bramleyscale.ServiceName;

/**
 * The requests of one service that wait for room at the answering daemon.
 *
 * @param service the service
 * @param urgent whether the rules call it urgent
 * @param waiting how many requests wait
 * @param oldestMillis for how long the oldest has waited
 */
public record QueueStatus(ServiceName service, boolean urgent, int waiting, long oldestMillis) {

}
