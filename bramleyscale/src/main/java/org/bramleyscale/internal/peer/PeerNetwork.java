package org.bramleyscale.internal.peer;

import java.util.Collection;
import java.util.Set;

import org.bramleyscale.VmId;

/**
 * Delivers messages to other daemons.
 *
 * <p>
 * Delivery is best effort: a message may be lost with its connection, arrives at most
 * once, and arrives in the order of sending for as long as one connection lasts. Used
 * from the scheduler's thread only; listeners are called there too.
 */
public interface PeerNetwork {

	/**
	 * Sends a message.
	 * @param to the VM of the recipient
	 * @param message the message
	 * @return false if the message will certainly not arrive, because there is no
	 * connection or the bound on queued bytes is reached
	 */
	boolean send(VmId to, PeerMessage message);

	/**
	 * Sends a message to several daemons.
	 * @param to the VMs of the recipients
	 * @param message the message
	 */
	default void sendAll(Collection<VmId> to, PeerMessage message) {
		to.forEach((vm) -> send(vm, message));
	}

	/**
	 * Returns whether a message sent to a daemon now would queue behind a large backlog.
	 * A sender whose update will be superseded by a later one should postpone it: a
	 * queued message can't be withdrawn, and all later messages queue behind it.
	 * @param to the VM of the recipient
	 * @return true while the backlog of the connection is large
	 */
	default boolean congested(VmId to) {
		return false;
	}

	/**
	 * Returns the VMs of the daemons with a working connection.
	 * @return the VMs
	 */
	Set<VmId> connected();

	/**
	 * Adds a listener for one type of message.
	 * @param <M> the type of message
	 * @param type the type of message
	 * @param listener called for each message of the type
	 */
	<M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener);

}
