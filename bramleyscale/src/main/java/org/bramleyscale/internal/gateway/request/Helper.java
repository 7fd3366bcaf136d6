package org.bramleyscale.internal.gateway.request;

import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * An engine that prefills a part of another engine's prompt.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param engine the engine
 * @param hold the id of the memory held there for the prompt, if any
 */
public record Helper(Backend engine, Optional<String> hold) {
}
