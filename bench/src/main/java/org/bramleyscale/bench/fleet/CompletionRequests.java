package org.bramleyscale.bench.fleet;

import java.net.URI;
import java.net.http.HttpRequest;

/**
 * Requests for streamed completions.
 */
final class CompletionRequests {

	private CompletionRequests() {
	}

	/**
	 * A request to a daemon.
	 * @param daemon {@code host:port}
	 * @param prompt the prompt, which needs no escapes in JSON
	 * @param tokens the largest number of answer tokens
	 * @return the request
	 */
	static HttpRequest.Builder through(String daemon, String prompt, int tokens) {
		return post("http://" + daemon + "/v1/completions",
				"{\"model\":\"%s\",\"max_tokens\":%d,\"stream\":true,\"prompt\":\"%s\"}".formatted(ProcessFleet.MODEL,
						tokens, prompt))
			.header("Authorization", "Bearer " + ProcessFleet.CALLER_KEY);
	}

	/**
	 * A request straight to an engine.
	 * @param engine {@code host:port}
	 * @param id the request's id, which must be new to the engine
	 * @param prompt the prompt, which needs no escapes in JSON
	 * @param tokens the largest number of answer tokens
	 * @return the request
	 */
	static HttpRequest.Builder direct(String engine, String id, String prompt, int tokens) {
		return post("http://" + engine + "/v1/generate", """
				{"id":"%s","attempt":1,"model":"%s","prompt":"%s","delivered":"","firstOffset":0,\
				"maxTokens":%d,"priority":0,"timeLeftMillis":30000,"holds":[]}""".formatted(id, ProcessFleet.MODEL,
				prompt, tokens));
	}

	private static HttpRequest.Builder post(String uri, String body) {
		return HttpRequest.newBuilder(URI.create(uri))
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body));
	}

}
