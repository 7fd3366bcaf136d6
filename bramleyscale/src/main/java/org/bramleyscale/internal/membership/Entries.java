package org.bramleyscale.internal.membership;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Sends claims to a peer.
 *
 * @param members claims about members
 * @param dataCentres claims about data centres, which are valid only inside the
 * observer's data centre
 */
record Entries(List<MemberEntry> members, List<DataCentreStatus> dataCentres) implements PeerMessage {

}
