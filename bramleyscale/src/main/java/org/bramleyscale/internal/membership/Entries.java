package org.bramleyscale.internal.membership;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Claims passed on.
 *
 * @param members claims about members
 * @param silences claims about data centres, understood only inside the observer's own
 */
record Entries(List<MemberEntry> members, List<DataCentreSilence> silences) implements PeerMessage {

}
