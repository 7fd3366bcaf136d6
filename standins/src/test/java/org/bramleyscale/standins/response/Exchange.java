package org.bramleyscale.standins.response;

import java.util.List;

/**
 * Two calls of one client to the same server, one after the other.
 *
 * @param name what is called
 * @param client sends one of the calls
 * @param first the response to the first call
 * @param firstTold what its caller gets
 * @param next the response to the second call
 * @param nextTold what its caller gets
 */
record Exchange(String name, Client client, String first, String firstTold, String next, String nextTold) {

	private static final String OVERLOADED = json("503 Service Unavailable",
			"{\"code\":\"OVERLOADED\",\"ran\":\"no\",\"message\":\"full\"}");

	private static final String REFUSED = "refused: full";

	static List<Exchange> all() {
		String failure = plain("500 Internal Server Error", "failure of the second call");
		String failureTold = "500 text/plain failure of the second call";
		return List.of(
				new Exchange("GET", (clients, port, call) -> clients.call(port, "GET"), plain("200 OK", "booking"),
						"200 text/plain booking", failure, failureTold),
				new Exchange("GET in chunks", (clients, port, call) -> clients.call(port, "GET"),
						chunks("text/plain", "booking"), "200 text/plain booking", failure, failureTold),
				new Exchange("GET of chunks", (clients, port, call) -> clients.call(port, "GET"),
						plain("404 Not Found", "none"), "404 text/plain none", chunks("text/plain", "booking"),
						"200 text/plain booking"),
				new Exchange("HEAD", (clients, port, call) -> clients.call(port, "HEAD"),
						plain("200 OK", "").replace("Length: 0", "Length: 9"), "200 text/plain ",
						plain("404 Not Found", "").replace("Length: 0", "Length: 9"), "404 text/plain "),
				new Exchange("report", (clients, port, call) -> clients.report(port), report(1), reportTold(1),
						report(2), reportTold(2)),
				new Exchange("events", (clients, port, call) -> clients.cacheEvents(port),
						json("200 OK", "{\"events\":[]}"), "[]",
						json("200 OK", "{\"events\":[{\"sequence\":1,\"prefix\":2,\"stored\":true}]}"),
						"[CacheEvent[sequence=1, prefix=2, stored=true]]"),
				new Exchange("cancel", (clients, port, call) -> clients.cancel(port),
						json("200 OK", "{\"result\":\"NEVER_STARTED\"}"), "NEVER_STARTED",
						json("200 OK", "{\"result\":\"FINISHED\"}"), "FINISHED"),
				new Exchange("stream after a stream", Clients::generate, stream(1), "accepted text-1 done 1", stream(2),
						"accepted text-2 done 1"),
				new Exchange("refusal after a stream", Clients::generate, stream(1), "accepted text-1 done 1",
						OVERLOADED, REFUSED),
				new Exchange("stream after a refusal", Clients::generate, OVERLOADED, REFUSED, stream(2),
						"accepted text-2 done 1"),
				new Exchange("object", (clients, port, call) -> clients.read(port, "name-" + call), object(1, "first"),
						"1 first", object(22, "another"), "22 another"),
				new Exchange("object in chunks", (clients, port, call) -> clients.read(port, "name-" + call),
						chunks("application/octet-stream\r\nObject-Version: 1", "first"), "1 first",
						object(22, "another"), "22 another"),
				new Exchange("object after none", (clients, port, call) -> clients.read(port, "name-" + call),
						plain("404 Not Found", ""), "none",
						chunks("application/octet-stream\r\nObject-Version: 22", "another"), "22 another"),
				new Exchange("no object", (clients, port, call) -> clients.read(port, "name-" + call),
						plain("404 Not Found", ""), "none", object(22, "another"), "22 another"),
				new Exchange("write", (clients, port, call) -> clients.write(port, "name-" + call), object(2, ""),
						"version 2", plain("409 Conflict", "stored is 7"), "refused: status 409: stored is 7"));
	}

	/**
	 * Sends a call.
	 * @param clients the clients
	 * @param port where the server listens
	 * @param call 1 or 2
	 * @return what the caller gets
	 */
	String send(Clients clients, int port, int call) {
		return this.client.send(clients, port, call);
	}

	/**
	 * Whether a caller of the second call may get something.
	 * @param told what it gets
	 * @return true if it comes from the second response alone, or is a failure
	 */
	boolean permits(String told) {
		boolean starts = this.nextTold.startsWith("accepted");
		return told.equals(this.nextTold) || told.equals(Clients.FAILED)
				|| (starts && told.equals(Clients.FAILED_AFTER_ITS_START));
	}

	@Override
	public String toString() {
		return this.name;
	}

	private static String plain(String status, String body) {
		return response(status, "text/plain", body);
	}

	private static String json(String status, String body) {
		return response(status, "application/json", body);
	}

	private static String object(long version, String value) {
		return response("200 OK", "application/octet-stream\r\nObject-Version: " + version, value);
	}

	private static String response(String status, String type, String body) {
		return "HTTP/1.1 " + status + "\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	private static String chunks(String type, String body) {
		return "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("")
				+ chunk(body.substring(0, 2)) + chunk(body.substring(2)) + "0\r\n\r\n";
	}

	private static String chunk(String bytes) {
		return bytes.isEmpty() ? "" : Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n";
	}

	private static String report(int sequence) {
		return json("200 OK",
				"{\"boot\":5,\"sequence\":" + sequence + ",\"running\":" + sequence
						+ ",\"waiting\":0,\"slots\":4,\"queuedPrefillTokens\":0,\"kvUsed\":7,\"kvCapacity\":900,"
						+ "\"leaving\":false,\"models\":[\"assist\"]}");
	}

	private static String reportTold(int sequence) {
		return "LoadReport[endpoint=engine-1, boot=5, sequence=" + sequence + ", running=" + sequence
				+ ", waiting=0, slots=4, queuedPrefillTokens=0, kvUsed=7, kvCapacity=900, leaving=false, models=[assist]]";
	}

	private static String stream(int attempt) {
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ chunk("event: accepted\ndata: {}\n\n")
				+ chunk("event: frame\ndata: {\"id\":\"" + Clients.ID + "\",\"attempt\":" + attempt
						+ ",\"offset\":0,\"tokens\":1,\"text\":\"text-" + attempt + "\"}\n\n")
				+ chunk("event: done\ndata: {\"promptTokens\":1,\"cachedTokens\":0,\"answerTokens\":1,"
						+ "\"finishReason\":\"stop\"}\n\n")
				+ "0\r\n\r\n";
	}

	/**
	 * Sends calls.
	 */
	interface Client {

		String send(Clients clients, int port, int call);

	}

}
