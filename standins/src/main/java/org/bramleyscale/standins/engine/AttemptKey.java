package org.bramleyscale.standins.engine;

/**
 * Names one attempt.
 *
 * @param id the request's id in its written form
 * @param attempt the number of the attempt
 */
public record AttemptKey(String id, int attempt) {
}
