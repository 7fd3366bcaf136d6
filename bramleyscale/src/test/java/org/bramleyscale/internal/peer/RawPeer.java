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
 * A peer on a plain socket that does only what the test tells it.
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
	 * Greets the daemon at the other end and sends messages in one piece with the last
	 * frame of the greeting.
	 */
	Hello greet(PeerIdentity identity, VmId dialled, PeerMessage... messages) throws Exception {
		Hello own = new Hello(new byte[Greeting.NONCE_BYTES], identity, false);
		Greeting greeting = new Greeting(this.key, this.codec, own, dialled);
		write(own);
		Hello other = (Hello) read();
		ByteArrayOutputStream piece = new ByteArrayOutputStream();
		write(this.codec.encode(greeting.receive(other).orElseThrow()), piece);
		for (PeerMessage message : messages) {
			write(this.codec.encode(message), piece);
		}
		this.output.write(piece.toByteArray());
		greeting.receive(read());
		Truth.assertThat(greeting.complete()).isTrue();
		return other;
	}

	/**
	 * Reads the next message that isn't a heartbeat.
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
	void awaitEnd() throws IOException {
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
