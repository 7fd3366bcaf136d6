package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;

import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;

/**
 * What a listener receives for one request.
 */
final class RecordedResponse implements BackendListener {

	private final StringBuilder body = new StringBuilder();

	private BackendHead head;

	private int heads;

	private String end;

	@Override
	public void head(BackendHead head) {
		this.head = head;
		this.heads++;
	}

	@Override
	public void data(byte[] data) {
		this.body.append(new String(data, StandardCharsets.UTF_8));
	}

	@Override
	public void complete() {
		this.end = "complete";
	}

	@Override
	public void closed() {
		this.end = "closed";
	}

	@Override
	public void failed(boolean sent, String cause) {
		this.end = "failed: " + cause;
	}

	boolean ended() {
		return this.end != null;
	}

	boolean whole() {
		return this.end != null && !this.end.startsWith("failed");
	}

	/**
	 * Whether all of a response was received, and nothing else.
	 * @param response the response
	 * @return false if anything differs
	 */
	boolean is(ScriptedResponse response) {
		return whole() && this.heads == 1 && this.head.status() == response.code()
				&& this.body.toString().equals(response.body())
				&& this.head.headers()
					.stream()
					.filter((header) -> header.name().equals("Signature"))
					.map((header) -> header.value())
					.toList()
					.equals(java.util.List.of("s-" + response.id()));
	}

	@Override
	public String toString() {
		return this.end + " " + ((this.head != null) ? this.head.status() + " " + this.head.headers() : "no head")
				+ " '" + this.body + "'";
	}

}
