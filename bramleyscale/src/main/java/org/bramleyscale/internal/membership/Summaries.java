package org.bramleyscale.internal.membership;

import java.util.List;

import org.bramleyscale.DataCentre;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The second step of comparing tables: what the sender holds of one data centre whose
 * digests differ.
 *
 * @param dataCentre the data centre
 * @param members all entries of it, in brief
 */
record Summaries(DataCentre dataCentre, List<MemberSummary> members) implements PeerMessage {

}
