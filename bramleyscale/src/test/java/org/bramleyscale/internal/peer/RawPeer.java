package org.bramleyscale.internal.peer;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;

import com.google.common.truth.Truth;
import org.bramleyscale.VmId;

/**
 * A peer on a plain socket, driven entirely by the test.
 */
final class RawPeer implements AutoCloseable {

	private final MessageCodec codec;

	private final byte[] key;

	private final Socket socket;

	private final DataInputStream input;

	private final OutputStream output;

	RawPeer(MessageCodec codec, byte[] key, Socket socket) throws IOException {
		this.codec = codec;
		this.key = key;
		this.socket = socket;
		this.input = new DataInputStream(socket.getInputStream());
		this.output = socket.getOutputStream();
	}

	/**
	 * Completes the handshake with the daemon at the other end and sends messages in the
	 * same write as the last frame of the handshake.
	 */
	Hello handshake(PeerIdentity identity, VmId dialled, PeerMessage... messages) throws Exception {
		Hello ownHello = new Hello(new byte[Handshake.NONCE_BYTES], identity, false);
		Handshake handshake = new Handshake(this.key, this.codec, ownHello, dialled);
		write(ownHello);
		Hello remoteHello = (Hello) read();
		ByteArrayOutputStream buffer = new ByteArrayOutputStream();
		write(this.codec.encode(handshake.receive(remoteHello).orElseThrow()), buffer);
		for (PeerMessage message : messages) {
			write(this.codec.encode(message), buffer);
		}
		this.output.write(buffer.toByteArray());
		handshake.receive(read());
		Truth.assertThat(handshake.complete()).isTrue();
		return remoteHello;
	}

	/**
	 * Returns the next message that isn't a heartbeat.
	 */
	PeerMessage readMessage() throws Exception {
		PeerMessage message = read();
		while (message instanceof Ping) {
			message = read();
		}
		return message;
	}

	/**
	 * Reads until the other end has closed the connection.
	 */
	void awaitClose() throws IOException {
		this.input.readAllBytes();
	}

	PeerMessage read() throws Exception {
		byte[] payload = new byte[this.input.readInt()];
		this.input.readFully(payload);
		return this.codec.decode("a", payload).orElseThrow();
	}

	void write(PeerMessage message) throws IOException {
		write(this.codec.encode(message));
	}

	void write(byte[] payload) throws IOException {
		write(payload, this.output);
	}

	/**
	 * Sends frames in one write.
	 */
	void writeTogether(byte[]... payloads) throws IOException {
		ByteArrayOutputStream buffer = new ByteArrayOutputStream();
		for (byte[] payload : payloads) {
			write(payload, buffer);
		}
		this.output.write(buffer.toByteArray());
	}

	private static void write(byte[] payload, OutputStream target) throws IOException {
		DataOutputStream data = new DataOutputStream(target);
		data.writeInt(payload.length);
		data.write(payload);
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
