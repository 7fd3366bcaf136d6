package org.bramleyscale.internal.membership;

import java.util.List;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Requests entries.
 *
 * @param vms the VMs whose entries the sender lacks or holds in an older version
 */
record Wanted(List<VmId> vms) implements PeerMessage {

}
