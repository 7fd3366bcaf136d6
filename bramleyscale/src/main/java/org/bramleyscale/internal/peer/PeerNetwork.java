package org.bramleyscale.internal.peer;

import java.util.Collection;
import java.util.Set;

import org.bramleyscale.VmId;

/**
 * Delivery of messages to other daemons.
 *
 * <p>
 * Delivery is best effort: a message may be lost with its connection, arrives at most
 * once, and arrives in the order of sending for as long as one connection lasts. Used
 * from the scheduler's thread only; listeners are called there too.
 */
public interface PeerNetwork {

	/**
	 * Sends a message.
	 * @param to the VM whose daemon shall get it
	 * @param message the message
	 * @return false if it certainly won't arrive, because there is no connection or the
	 * bound on queued bytes is reached
	 */
	boolean send(VmId to, PeerMessage message);

	/**
	 * Sends a message to several daemons.
	 * @param to the VMs whose daemons shall get it
	 * @param message the message
	 */
	default void sendAll(Collection<VmId> to, PeerMessage message) {
		to.forEach((vm) -> send(vm, message));
	}

	/**
	 * Whether what is sent to a daemon now would wait behind much that was sent before.
	 * Who has newer news of the same kind later should wait with them: what is queued
	 * can't be taken back, and everything else waits behind it.
	 * @param to the VM whose daemon would get it
	 * @return true while its connection doesn't keep up
	 */
	default boolean congested(VmId to) {
		return false;
	}

	/**
	 * The daemons with a working connection.
	 * @return the VMs
	 */
	Set<VmId> connected();

	/**
	 * Adds a listener for one type of message.
	 * @param <M> the type
	 * @param type the type
	 * @param listener called for each message of the type
	 */
	<M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener);

}
