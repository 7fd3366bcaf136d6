package org.bramleyscale.internal.membership;

import java.util.List;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The second step of a table exchange: the sender's entries of one data centre whose
 * digests differ.
 *
 * @param dataCentre the data centre
 * @param members summaries of all its entries
 */
record Summaries(DataCentre dataCentre, List<MemberSummary> members) implements PeerMessage {

}
