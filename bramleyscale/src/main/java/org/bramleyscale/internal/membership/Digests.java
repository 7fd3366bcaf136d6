package org.bramleyscale.internal.membership;

import java.util.Map;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The first step of a table exchange.
 *
 * @param byDataCentre the digest of the entries of each data centre
 */
record Digests(Map<DataCentre, Long> byDataCentre) implements PeerMessage {

}
