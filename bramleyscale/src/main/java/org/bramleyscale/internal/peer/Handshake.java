package org.bramleyscale.internal.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.bramleyscale.VmId;

/**
 * One side of the mutual authentication on a new connection.
 *
 * <p>
 * Each side sends a {@link Hello} with a fresh nonce and, on receiving the other's, a
 * {@link Proof}: an HMAC under the shared key over its own role, its own hello and the
 * other's hello. The role prevents reflection, in which an attacker sends this side's own
 * proof back; the nonces prevent the replay of a recorded proof. The proof covers the
 * identities, so they can't be altered in transit. Later frames are neither signed nor
 * encrypted: the network between the VMs is trusted to carry established connections. Not
 * safe for use by multiple threads.
 */
final class Handshake {

	/** The size limit of handshake frames, whose sender isn't authenticated yet. */
	static final int MAX_FRAME_BYTES = 2_048;

	/** The length of a nonce in bytes. */
	static final int NONCE_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private static final byte DIALLER = 1;

	private static final byte ACCEPTOR = 2;

	private final byte[] key;

	private final MessageCodec codec;

	private final Hello ownHello;

	private final VmId target;

	private Hello remoteHello;

	private boolean complete;

	/**
	 * Creates a handshake that has received nothing yet.
	 * @param key the shared key
	 * @param codec the codec
	 * @param ownHello the hello that this side sends
	 * @param target the VM that this side dialled, or null if it accepted the connection
	 */
	Handshake(byte[] key, MessageCodec codec, Hello ownHello, VmId target) {
		this.key = key;
		this.codec = codec;
		this.ownHello = ownHello;
		this.target = target;
	}

	/**
	 * Processes the other side's next message.
	 * @param message the message
	 * @return the message to send in reply, if any
	 * @throws PeerProtocolException if the connection must be closed
	 */
	Optional<PeerMessage> receive(PeerMessage message) throws PeerProtocolException {
		if (message instanceof Hello hello && this.remoteHello == null) {
			return Optional.of(respond(hello));
		}
		if (message instanceof Proof proof && this.remoteHello != null && !this.complete) {
			verify(proof);
			this.complete = true;
			return Optional.empty();
		}
		throw malformed("unexpected " + message.getClass().getSimpleName() + " during the handshake");
	}

	boolean complete() {
		return this.complete;
	}

	/**
	 * Returns the identity of the other side, which is authenticated once the handshake
	 * is complete.
	 * @return the identity
	 */
	PeerIdentity remote() {
		return this.remoteHello.identity();
	}

	/**
	 * Returns the VM that this side dialled.
	 * @return the VM, or null if this side accepted the connection
	 */
	VmId target() {
		return this.target;
	}

	boolean dialled() {
		return this.target != null;
	}

	/**
	 * Returns whether the dialler opened this connection to replace a silent one.
	 * @return the flag of the dialler's hello, whichever side dialled
	 */
	boolean replacing() {
		return dialled() ? this.ownHello.replacing() : this.remoteHello.replacing();
	}

	private PeerMessage respond(Hello hello) throws PeerProtocolException {
		if (hello.nonce() == null || hello.nonce().length != NONCE_BYTES || hello.identity() == null) {
			throw malformed("hello must have an identity and a nonce of " + NONCE_BYTES + " bytes");
		}
		VmId vm = hello.identity().incarnation().vm();
		if (this.target != null && !this.target.equals(vm)) {
			throw malformed("dialled VM '" + this.target + "' but reached '" + vm + "'");
		}
		if (vm.equals(this.ownHello.identity().incarnation().vm())) {
			throw malformed("'" + vm + "' is this daemon's own VM");
		}
		this.remoteHello = hello;
		return new Proof(mac(dialled() ? DIALLER : ACCEPTOR, this.ownHello, this.remoteHello));
	}

	private void verify(Proof proof) throws PeerProtocolException {
		byte[] expected = mac(dialled() ? ACCEPTOR : DIALLER, this.remoteHello, this.ownHello);
		if (!MessageDigest.isEqual(expected, proof.code())) {
			throw new PeerProtocolException(PeerProtocolException.Kind.WRONG_KEY,
					this.remoteHello.identity().incarnation().toString(), "the peer doesn't hold the shared key");
		}
	}

	private byte[] mac(byte role, Hello sender, Hello receiver) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(this.key, ALGORITHM));
			mac.update(role);
			mac.update(this.codec.encode(sender));
			return mac.doFinal(this.codec.encode(receiver));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java platform must support " + ALGORITHM, ex);
		}
	}

	private PeerProtocolException malformed(String message) {
		String peer = (this.remoteHello != null) ? this.remoteHello.identity().incarnation().toString() : "unknown";
		return new PeerProtocolException(PeerProtocolException.Kind.MALFORMED, peer, message);
	}

}
