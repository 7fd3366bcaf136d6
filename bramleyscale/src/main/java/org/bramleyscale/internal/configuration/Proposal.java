package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformException;

/**
 * One change on its way to a version.
 *
 * <p>
 * Steps: read the head; if it remembers the change's id, the change took effect already;
 * if it is of another version than the base, there is a conflict; else write the new
 * parts, then the new head under the condition that the old one is still there. A write
 * whose reply was lost is settled by starting over: the id is in the head if the write
 * took effect, and if it hasn't, the condition lets only one of the two writes take
 * effect. Invariants: nothing refers to a part before the head does; "not accepted" is
 * said only if no write of the head may have taken effect. Confined to the scheduler's
 * thread.
 */
final class Proposal {

	static final Duration LIMIT = Duration.ofSeconds(10);

	private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

	private static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(2);

	private final ConfigurationStore store;

	private final ProposalHost host;

	private final Change change;

	private final long fingerprint;

	private final long startedAt;

	private final CompletableFuture<ChangeResult> future = new CompletableFuture<>();

	private Optional<Head> partsOf = Optional.empty();

	private boolean maybeWritten;

	Proposal(ConfigurationStore store, ProposalHost host, Change change) {
		this.store = store;
		this.host = host;
		this.change = change;
		this.fingerprint = change.fingerprint();
		this.startedAt = host.scheduler().nanos();
	}

	CompletableFuture<ChangeResult> future() {
		return this.future;
	}

	long fingerprint() {
		return this.fingerprint;
	}

	void start() {
		if (mayWrite()) {
			readHead();
		}
	}

	private void readHead() {
		this.store.readHead().whenComplete((stored, failure) -> guarded(() -> {
			if (failure != null) {
				retry(ConfigurationStore.platformFailure(failure));
			}
			else {
				decide(stored);
			}
		}));
	}

	private void decide(StoredHead stored) {
		Head head = stored.head();
		Optional<AcceptedChange> accepted = head.accepted(this.change.id());
		if (accepted.isPresent()) {
			repeated(head, accepted.get());
		}
		else if (head.version() < this.host.held().version()) {
			fail(Ran.NO, "the platform holds version " + head.version() + ", which is earlier than version "
					+ this.host.held().version() + " in force here; its data may have been restored");
		}
		else if (head.version() == this.change.base()) {
			this.host.holding(head.version(), CATCH_UP_LIMIT).thenAccept((held) -> guarded(() -> prepare(stored)));
		}
		else if (this.maybeWritten && !head.remembersSince(this.change.base())) {
			fail(Ran.UNKNOWN, "the platform has forgotten which changes followed version " + this.change.base());
		}
		else {
			conflict(head);
		}
	}

	private void repeated(Head head, AcceptedChange accepted) {
		if (accepted.fingerprint() != this.fingerprint) {
			reject("id", this.change.id(),
					"an id of its own; " + accepted.author() + " used this one for version " + accepted.version());
			return;
		}
		this.host.headSeen(head);
		this.host.holding(accepted.version(), CATCH_UP_LIMIT)
			.thenAccept((held) -> guarded(() -> answer(accepted.version())));
	}

	private void prepare(StoredHead stored) {
		Optional<Snapshot> base = this.host.at(this.change.base());
		if (base.isEmpty()) {
			retry(new PlatformException(PlatformException.Kind.UNAVAILABLE,
					"this daemon does not hold version " + this.change.base() + " yet"));
			return;
		}
		Configuration old = base.get().configuration();
		List<ConfigurationProblem> problems = ConfigurationChecks
			.problems(this.change.register().orElse(old.register()), this.change.rules().orElse(old.rules()));
		if (!problems.isEmpty()) {
			this.future.complete(new ChangeResult.Rejected(problems));
			return;
		}
		Snapshot next = ChangedSnapshot.of(base.get(), this.change);
		List<EncodedChange> changes = next.changesSince(base.get());
		if (changes.isEmpty()) {
			answer(base.get().version());
			return;
		}
		AcceptedChange accepted = new AcceptedChange(next.version(), this.change.id(), this.change.author(),
				this.fingerprint);
		writeParts(stored, stored.head().next(next, accepted, changes, this.host.self()), next);
	}

	private void writeParts(StoredHead old, Head head, Snapshot next) {
		if (this.partsOf.isPresent()) {
			writeHead(old, head, next);
			return;
		}
		this.store.writeParts(head, next).whenComplete((written, failure) -> guarded(() -> {
			if (failure != null) {
				retry(ConfigurationStore.platformFailure(failure));
			}
			else {
				this.partsOf = Optional.of(head);
				writeHead(old, head, next);
			}
		}));
	}

	private void writeHead(StoredHead old, Head head, Snapshot next) {
		if (!mayWrite()) {
			return;
		}
		this.store.writeHead(head, old.objectVersion()).whenComplete((written, failure) -> guarded(() -> {
			if (failure != null) {
				headFailed(ConfigurationStore.platformFailure(failure));
			}
			else {
				this.host.written(old.head(), head, next);
				answer(head.version());
			}
		}));
	}

	private void headFailed(PlatformException failure) {
		switch (failure.kind()) {
			case CONFLICT -> readHead();
			case TOO_LARGE -> reject("configuration", "", "content whose parts fit into the platform's objects");
			case UNAVAILABLE -> retry(failure);
			case UNKNOWN_OUTCOME -> {
				this.maybeWritten = true;
				retry(failure);
			}
			default -> throw new IllegalStateException("unknown kind of failure '" + failure.kind() + "'");
		}
	}

	private void answer(long version) {
		this.host.spread(version).thenAccept(this.future::complete);
	}

	private void conflict(Head head) {
		this.partsOf.ifPresent((ours) -> deleteOwnParts(ours, head));
		this.host.headSeen(head);
		this.host.holding(head.version(), CATCH_UP_LIMIT)
			.thenAccept((held) -> guarded(() -> this.future.complete(conflictResult(head, held))));
	}

	// Nobody refers to these parts: heads up to this one's version are made, and this one
	// doesn't.
	private void deleteOwnParts(Head ours, Head current) {
		String prefix = ours.version() + "-";
		List<ObjectKey> parts = ConfigurationStore.partsOnlyIn(ours, current)
			.stream()
			.filter((key) -> key.name().startsWith(prefix))
			.toList();
		this.store.deleteParts(parts);
	}

	private ChangeResult conflictResult(Head head, boolean held) {
		Optional<Snapshot> base = this.host.at(this.change.base());
		Snapshot newest = this.host.held();
		boolean complete = held && base.isPresent();
		List<EntryChange> theirs = complete ? EntryChanges.between(base.get(), newest) : List.of();
		Snapshot from = base.orElse(newest);
		List<EntryChange> yours = EntryChanges.between(from, ChangedSnapshot.of(from, this.change));
		return new ChangeResult.Conflict(this.change.base(), head.version(), theirs, yours, complete);
	}

	// A group that is cut off from the platform goes on for as long as it hears a
	// majority.
	// A change made where no majority is heard could be accepted behind its back.
	private boolean mayWrite() {
		if (this.change.force() || this.host.majorityHeard()) {
			return true;
		}
		ErrorCode code = this.maybeWritten ? ErrorCode.PLATFORM_UNAVAILABLE : ErrorCode.NOT_READY;
		fail(code, this.maybeWritten ? Ran.UNKNOWN : Ran.NO,
				"no majority of the daemons can be heard, so the change could not be put in force everywhere");
		return false;
	}

	private void retry(PlatformException failure) {
		long spent = this.host.scheduler().nanos() - this.startedAt;
		if (spent + RETRY_PAUSE.toNanos() <= LIMIT.toNanos()) {
			this.host.scheduler().schedule(RETRY_PAUSE, () -> guarded(this::readHead));
		}
		else {
			fail(this.maybeWritten ? Ran.UNKNOWN : Ran.NO, failure.getMessage());
		}
	}

	private void reject(String key, String value, String allowed) {
		this.future.complete(new ChangeResult.Rejected(List.of(new ConfigurationProblem(key, value, allowed))));
	}

	private void fail(Ran ran, String message) {
		fail(ErrorCode.PLATFORM_UNAVAILABLE, ran, message);
	}

	private void fail(ErrorCode code, Ran ran, String message) {
		String effect = (ran == Ran.NO) ? "the change was not accepted: "
				: "whether the change was accepted is unknown, repeat it with the same id: ";
		this.future.completeExceptionally(
				new ServingException(code, ran, Step.CONFIGURE, "platform", effect + message, RETRY_PAUSE));
	}

	// An operator who waits for an answer that never comes doesn't know what is in force;
	// a defect here must end the proposal too.
	private void guarded(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			this.future.completeExceptionally(ex);
		}
	}

}
