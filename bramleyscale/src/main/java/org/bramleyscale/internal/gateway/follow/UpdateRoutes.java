package org.bramleyscale.internal.gateway.follow;

import java.util.Collection;

import org.bramleyscale.VmId;

/**
 * The recipients of updates: the peers to which a daemon sends its own and forwards those
 * of others.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface UpdateRoutes {

	/**
	 * The recipients of updates that originate at this daemon, such as what it read from
	 * the store.
	 * @return their VMs
	 */
	Collection<VmId> originRecipients();

	/**
	 * The peers to which an update of a peer is forwarded, so that it reaches every
	 * daemon.
	 * @param from the peer
	 * @return their VMs
	 */
	Collection<VmId> forwardRecipients(VmId from);

}
