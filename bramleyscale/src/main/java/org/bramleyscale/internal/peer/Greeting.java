package org.bramleyscale.internal.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.bramleyscale.VmId;

/**
 * One side of the greeting on a new connection.
 *
 * <p>
 * Each side sends a {@link Hello} with a fresh nonce and, on receiving the other's, a
 * {@link Proof}: an HMAC under the shared key over its own role, its own hello and the
 * other's hello. The role keeps a stranger from sending our own proof back to us; the
 * nonces keep it from sending one that it recorded. The proof covers the identities, so
 * they can't be altered on the way. Later frames are neither signed nor encrypted: the
 * network between the VMs is trusted to carry established connections. Not safe for use
 * by multiple threads.
 */
final class Greeting {

	/** Greeting frames larger than this are refused, since their sender is unproven. */
	static final int LARGEST_FRAME = 2_048;

	/** The length of a nonce. */
	static final int NONCE_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private static final byte DIALLER = 1;

	private static final byte ACCEPTOR = 2;

	private final byte[] key;

	private final MessageCodec codec;

	private final Hello own;

	private final VmId dialled;

	private Hello other;

	private boolean complete;

	/**
	 * Begins a greeting.
	 * @param key the shared key
	 * @param codec the codec
	 * @param own what this side says
	 * @param dialled the VM that this side dialled, or null if it accepted
	 */
	Greeting(byte[] key, MessageCodec codec, Hello own, VmId dialled) {
		this.key = key;
		this.codec = codec;
		this.own = own;
		this.dialled = dialled;
	}

	/**
	 * Takes the other side's next message.
	 * @param message the message
	 * @return what to send in reply, if anything
	 * @throws PeerProtocolException if the connection must be cut off
	 */
	Optional<PeerMessage> receive(PeerMessage message) throws PeerProtocolException {
		if (message instanceof Hello hello && this.other == null) {
			return Optional.of(answer(hello));
		}
		if (message instanceof Proof proof && this.other != null && !this.complete) {
			verify(proof);
			this.complete = true;
			return Optional.empty();
		}
		throw malformed("unexpected " + message.getClass().getSimpleName() + " in the greeting");
	}

	boolean complete() {
		return this.complete;
	}

	/**
	 * Who the other side is; proven once the greeting is complete.
	 * @return its identity
	 */
	PeerIdentity remote() {
		return this.other.identity();
	}

	/**
	 * The VM that this side dialled.
	 * @return the VM, or null if this side accepted
	 */
	VmId target() {
		return this.dialled;
	}

	boolean dialled() {
		return this.dialled != null;
	}

	/**
	 * Whether the dialler wants this connection in place of a silent one.
	 * @return true if the dialler, this side or the other, said so
	 */
	boolean replacing() {
		return dialled() ? this.own.replacing() : this.other.replacing();
	}

	private PeerMessage answer(Hello hello) throws PeerProtocolException {
		if (hello.nonce() == null || hello.nonce().length != NONCE_BYTES || hello.identity() == null) {
			throw malformed("a greeting must hold an identity and " + NONCE_BYTES + " random bytes");
		}
		VmId vm = hello.identity().incarnation().vm();
		if (this.dialled != null && !this.dialled.equals(vm)) {
			throw malformed("dialled '" + this.dialled + "' but reached '" + vm + "'");
		}
		if (vm.equals(this.own.identity().incarnation().vm())) {
			throw malformed("'" + vm + "' is this daemon's own VM");
		}
		this.other = hello;
		return new Proof(mac(dialled() ? DIALLER : ACCEPTOR, this.own, this.other));
	}

	private void verify(Proof proof) throws PeerProtocolException {
		byte[] expected = mac(dialled() ? ACCEPTOR : DIALLER, this.other, this.own);
		if (!MessageDigest.isEqual(expected, proof.code())) {
			throw new PeerProtocolException(PeerProtocolException.Kind.WRONG_KEY,
					this.other.identity().incarnation().toString(), "the peer doesn't hold the shared key");
		}
	}

	private byte[] mac(byte role, Hello speaker, Hello listener) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(this.key, ALGORITHM));
			mac.update(role);
			mac.update(this.codec.encode(speaker));
			return mac.doFinal(this.codec.encode(listener));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java platform has " + ALGORITHM, ex);
		}
	}

	private PeerProtocolException malformed(String message) {
		String peer = (this.other != null) ? this.other.identity().incarnation().toString() : "unknown";
		return new PeerProtocolException(PeerProtocolException.Kind.MALFORMED, peer, message);
	}

}
