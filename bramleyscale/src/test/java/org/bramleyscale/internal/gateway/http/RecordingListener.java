package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;

/**
 * Records its calls, and completes with all of them when the response has ended.
 */
final class RecordingListener implements BackendListener {

	final CompletableFuture<String> ended = new CompletableFuture<>();

	final CompletableFuture<Void> firstData = new CompletableFuture<>();

	private final List<String> received = new ArrayList<>();

	@Override
	public void head(BackendHead head) {
		this.received.add(String.valueOf(head.status()));
	}

	@Override
	public void data(byte[] data) {
		this.received.add(new String(data, StandardCharsets.UTF_8));
		this.firstData.complete(null);
	}

	@Override
	public void complete() {
		this.received.add("complete");
		this.ended.complete(String.join(" ", this.received));
	}

	@Override
	public void closed() {
		this.received.add("closed");
		this.ended.complete(String.join(" ", this.received));
	}

	@Override
	public void failed(boolean sent, String cause) {
		this.received.add(sent ? "failed" : "unsent");
		this.ended.complete(String.join(" ", this.received));
	}

}
