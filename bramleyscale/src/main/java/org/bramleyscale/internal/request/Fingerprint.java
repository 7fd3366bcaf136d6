package org.bramleyscale.internal.request;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/**
 * Hashes that tell requests and prompt beginnings apart.
 *
 * <p>
 * A prompt of megabytes is read once here, in blocks, so that no second copy of it is
 * made. Stateless and safe for use by multiple threads.
 */
final class Fingerprint {

	/**
	 * How much of a prompt decides about prefix affinity: long enough to tell system
	 * prompts and manuals apart, short enough that a question behind them doesn't matter.
	 */
	static final int PREFIX_CHARS = 1024;

	private static final int SHORTEST_PREFIX_CHARS = 256;

	private static final int BLOCK_CHARS = 32 * 1024;

	private static final HashFunction FUNCTION = Hashing.murmur3_128();

	private Fingerprint() {
	}

	static HashCode of(GenerateRequest request) {
		Hasher hasher = FUNCTION.newHasher();
		part(hasher, "generate");
		part(hasher, request.account().value());
		part(hasher, request.service().value());
		part(hasher, request.model().value());
		hasher.putInt(request.maxTokens());
		part(hasher, request.prompt());
		return hasher.hash();
	}

	static HashCode of(PlainRequest request) {
		Hasher hasher = FUNCTION.newHasher();
		part(hasher, "call");
		part(hasher, request.account().value());
		part(hasher, request.service().value());
		part(hasher, request.method());
		part(hasher, request.path());
		for (Map.Entry<String, String> header : new TreeMap<>(request.headers()).entrySet()) {
			if (header.getKey().equalsIgnoreCase("content-type")) {
				part(hasher, header.getValue());
			}
		}
		hasher.putBytes(request.body());
		return hasher.hash();
	}

	/**
	 * Hash of a prompt's beginning.
	 * @param prompt the prompt
	 * @return the hash, or 0 if the prompt is too short to share anything worth it
	 */
	static long prefix(String prompt) {
		int length = prefixLength(prompt);
		if (length == 0) {
			return 0;
		}
		return FUNCTION.hashBytes(prompt.substring(0, length).getBytes(StandardCharsets.UTF_8)).asLong();
	}

	static int prefixLength(String prompt) {
		int length = Math.min(prompt.length(), PREFIX_CHARS);
		return length - length % SHORTEST_PREFIX_CHARS;
	}

	private static void part(Hasher hasher, String text) {
		hasher.putInt(text.length());
		int from = 0;
		while (from < text.length()) {
			int to = blockEnd(text, from);
			hasher.putBytes(text.substring(from, to).getBytes(StandardCharsets.UTF_8));
			from = to;
		}
	}

	private static int blockEnd(String text, int from) {
		int end = Math.min(text.length(), from + BLOCK_CHARS);
		boolean cutsPair = end < text.length() && Character.isHighSurrogate(text.charAt(end - 1));
		return (cutsPair) ? end + 1 : end;
	}

}
