package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;

/**
 * Heads and parts in the platform's object API.
 *
 * <p>
 * Every future fails with a {@link PlatformException}. Confined to the scheduler's
 * thread.
 */
final class ConfigurationStore {

	private static final int PARALLEL_CALLS = 8;

	private final ObjectStore objects;

	ConfigurationStore(ObjectStore objects) {
		this.objects = objects;
	}

	CompletableFuture<StoredHead> readHead() {
		return this.objects.read(Head.KEY).thenApply(ConfigurationStore::head);
	}

	CompletableFuture<StoredHead> writeHead(Head head, long expected) {
		return this.objects.write(Head.KEY, ConfigurationCodec.encode(head), expected)
			.thenApply((stored) -> new StoredHead(head, stored.version()));
	}

	/**
	 * Reads the head out of an object.
	 * @param object the object, or empty if the platform has none
	 * @return the head
	 */
	static StoredHead head(Optional<StoredObject> object) {
		if (object.isEmpty()) {
			return StoredHead.NONE;
		}
		try {
			return new StoredHead(ConfigurationCodec.decode(object.get().value(), Head.class), object.get().version());
		}
		catch (IOException ex) {
			throw new CompletionException(unreadable(Head.KEY, ex));
		}
	}

	/**
	 * Writes the parts that a version adds.
	 * @param head the version's head, which isn't stored yet
	 * @param snapshot the version's content
	 * @return completes once all of them are stored
	 */
	CompletableFuture<Void> writeParts(Head head, Snapshot snapshot) {
		List<Supplier<CompletableFuture<Boolean>>> calls = new ArrayList<>();
		for (int index = 0; index < head.parts().size(); index++) {
			PartReference part = head.part(index);
			Bucket bucket = snapshot.buckets().get(index);
			if (!part.empty() && part.version() == head.version()) {
				ObjectKey key = part.objectKey(index);
				calls.add(() -> writePart(key, bucket.encoded()));
			}
		}
		return BoundedCalls.run(calls, PARALLEL_CALLS).thenApply((written) -> null);
	}

	// A part's name holds the hash of its content, so one that is there already holds
	// what is to be written: an earlier attempt wrote it.
	private CompletableFuture<Boolean> writePart(ObjectKey key, byte[] content) {
		return this.objects.write(key, content, 0).handle((stored, failure) -> {
			if (failure != null && platformFailure(failure).kind() != PlatformException.Kind.CONFLICT) {
				throw new CompletionException(platformFailure(failure));
			}
			return true;
		});
	}

	/**
	 * Reads a version, taking from a held one what didn't change.
	 * @param head the version's head
	 * @param held content at hand
	 * @return the version's content
	 */
	CompletableFuture<Snapshot> readSnapshot(Head head, Snapshot held) {
		boolean sameLayout = held.buckets().size() == head.parts().size();
		List<EncodedEntry> entries = new ArrayList<>();
		List<Supplier<CompletableFuture<List<EncodedEntry>>>> calls = new ArrayList<>();
		for (int index = 0; index < head.parts().size(); index++) {
			PartReference part = head.part(index);
			if (sameLayout && held.buckets().get(index).hash().equals(part.hash())) {
				held.buckets().get(index).entries().forEach((entry) -> entries.add(entry.encoded()));
			}
			else if (!part.empty()) {
				ObjectKey key = part.objectKey(index);
				calls.add(() -> readPart(key));
			}
		}
		return BoundedCalls.run(calls, PARALLEL_CALLS).thenApply((read) -> {
			read.forEach(entries::addAll);
			return assemble(head, entries);
		});
	}

	private CompletableFuture<List<EncodedEntry>> readPart(ObjectKey key) {
		return this.objects.read(key).thenApply((object) -> {
			try {
				byte[] value = object.orElseThrow(() -> new IOException("there is no such object")).value();
				return ConfigurationCodec.decodeEntries(value);
			}
			catch (IOException ex) {
				throw new CompletionException(unreadable(key, ex));
			}
		});
	}

	private static Snapshot assemble(Head head, List<EncodedEntry> entries) {
		try {
			Snapshot snapshot = Snapshot.decode(head.version(), entries);
			if (!snapshot.hash().equals(head.hash())) {
				throw new IOException("content hash is " + snapshot.hash() + " where " + head.hash() + " is expected");
			}
			return snapshot;
		}
		catch (IOException ex) {
			throw new CompletionException(unreadable(Head.KEY, ex));
		}
	}

	/**
	 * Deletes parts that no head refers to any more, as far as the platform answers.
	 * @param keys the parts
	 */
	void deleteParts(Collection<ObjectKey> keys) {
		List<Supplier<CompletableFuture<Boolean>>> calls = new ArrayList<>();
		keys.forEach(
				(key) -> calls.add(() -> this.objects.delete(key, 1).handle((deleted, failure) -> failure == null)));
		BoundedCalls.run(calls, PARALLEL_CALLS);
	}

	/**
	 * The parts that one head refers to and another one doesn't.
	 * @param head the one
	 * @param other the other
	 * @return the parts' keys
	 */
	static List<ObjectKey> partsOnlyIn(Head head, Head other) {
		List<ObjectKey> keys = new ArrayList<>();
		for (int index = 0; index < head.parts().size(); index++) {
			PartReference part = head.part(index);
			if (!part.empty() && !part.equals(other.part(index))) {
				keys.add(part.objectKey(index));
			}
		}
		return keys;
	}

	static PlatformException platformFailure(Throwable failure) {
		if (failure instanceof PlatformException known) {
			return known;
		}
		if (failure instanceof CompletionException && failure.getCause() != null) {
			return platformFailure(failure.getCause());
		}
		return new PlatformException(PlatformException.Kind.UNKNOWN_OUTCOME, String.valueOf(failure));
	}

	private static PlatformException unreadable(ObjectKey key, IOException ex) {
		return new PlatformException(PlatformException.Kind.UNAVAILABLE,
				"object " + key + " can't be used: " + ex.getMessage());
	}

}
