package org.bramleyscale.daemon.command;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.internal.configuration.ConfigurationProblem;
import org.bramleyscale.internal.status.ApplyResult;
import org.bramleyscale.internal.status.DocumentKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests of the operators' commands against daemons that answer, refuse, die or are gone.
 */
class OperatorCommandsTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private FakeDaemon daemon;

	private FakeDaemon other;

	@TempDir
	private Path directory;

	private Path key;

	private Path rules;

	@BeforeEach
	void start() throws Exception {
		this.daemon = new FakeDaemon();
		this.other = new FakeDaemon();
		this.key = Files.writeString(this.directory.resolve("key"), FakeDaemon.KEY + "\n");
		this.rules = Files.writeString(this.directory.resolve("rules.yaml"), "# version: 7\nurgent: []\n");
	}

	@AfterEach
	void stop() throws Exception {
		this.daemon.close();
		this.other.close();
	}

	@Test
	void showPrintsTheDocumentWithItsVersion() throws Exception {
		Truth.assertThat(rules("show")).isEqualTo(ExitCode.OK.status());
		Truth.assertThat(text(this.out)).isEqualTo("# version: 7\n" + FakeDaemon.RULES);
	}

	@Test
	void whatIsShownCanBeAppliedAgain() throws Exception {
		rules("show");
		Files.write(this.rules, this.out.toByteArray());
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.OK.status());
		Truth.assertThat(text(this.out)).contains("accepted as version 8");
	}

	@Test
	void diffShowsWhatTheFileChanges() throws Exception {
		Truth.assertThat(rules("diff", this.rules.toString())).isEqualTo(ExitCode.OK.status());
		Truth.assertThat(text(this.out)).contains("-  - notices");
		Truth.assertThat(text(this.out)).contains("+urgent: []");
	}

	@Test
	void fileWithoutItsVersionIsNotApplied() throws Exception {
		Files.writeString(this.rules, "urgent: []\n");
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.BAD_USAGE.status());
		Truth.assertThat(this.daemon.changes()).isEmpty();
	}

	@Test
	void conflictShowsBothSidesAndHasItsOwnStatus() throws Exception {
		this.daemon.answerChangesWith(conflict());
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.CONFLICT.status());
		Truth.assertThat(text(this.err)).contains("-urgent: [theirs]");
		Truth.assertThat(text(this.err)).contains("+urgent: []");
	}

	@Test
	void conflictWithAnEqualDocumentSaysSo() throws Exception {
		this.daemon.answerChangesWith(
				CompletableFuture.completedFuture(new ApplyResult.Conflict(7, 9, "urgent: []\n", "urgent: []\n")));
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.CONFLICT.status());
		Truth.assertThat(text(this.err)).contains("Your file says the same as what is in force.");
	}

	@Test
	void rejectionTellsAllProblems() throws Exception {
		this.daemon.answerChangesWith(CompletableFuture
			.completedFuture(new ApplyResult.Rejected(List.of(new ConfigurationProblem(2, "urgent", "x", "services"),
					new ConfigurationProblem(3, "accounts", "y", "accounts")))));
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.BAD_USAGE.status());
		Truth.assertThat(text(this.err)).contains("line 2: urgent");
		Truth.assertThat(text(this.err)).contains("line 3: accounts");
	}

	@Test
	void nextDaemonIsAskedWhenOneIsGone() throws Exception {
		this.daemon.close();
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.OK.status());
		Truth.assertThat(this.other.changes()).hasSize(1);
	}

	@Test
	void nextDaemonIsAskedWhenOneSaysThatNothingWasChanged() throws Exception {
		this.daemon
			.answerChangesWith(CompletableFuture.failedFuture(new ServingException(ErrorCode.PLATFORM_UNAVAILABLE,
					Ran.NO, Step.PLATFORM, "platform", "the platform is down")));
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.OK.status());
	}

	@Test
	void changeInDoubtIsRepeatedUnderItsFirstId() throws Exception {
		this.daemon.cutChanges();
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.OK.status());
		Truth.assertThat(this.daemon.changes()).hasSize(1);
		Truth.assertThat(this.other.changes()).isEqualTo(this.daemon.changes());
	}

	@Test
	void conflictAfterAChangeInDoubtIsAnUnknownOutcome() throws Exception {
		// Symptom: an operator is told that nothing was changed, brings the change in by
		// hand, and finds that it had been in force for a moment.
		// Sequence: the first daemon takes the change and dies; a colleague's change
		// follows it; the second daemon sees the colleague's version and says conflict.
		// Cause: the doubt about the first attempt was forgotten.
		this.daemon.cutChanges();
		this.other.answerChangesWith(conflict());
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.UNKNOWN_OUTCOME.status());
		Truth.assertThat(text(this.err)).doesNotContain("Nothing was changed");
	}

	@Test
	void changeWhoseDaemonsAllDiedIsAnUnknownOutcomeWithAHint() throws Exception {
		this.daemon.cutChanges();
		this.other.cutChanges();
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.UNKNOWN_OUTCOME.status());
		Truth.assertThat(text(this.err)).contains("--base 7 --change-id " + this.daemon.changes().get(0));
	}

	@Test
	void noDaemonThatListensIsNotReachable() throws Exception {
		this.daemon.close();
		this.other.close();
		Truth.assertThat(rules("show")).isEqualTo(ExitCode.NOT_REACHABLE.status());
		Truth.assertThat(rules("apply", this.rules.toString())).isEqualTo(ExitCode.NOT_REACHABLE.status());
	}

	@Test
	void daemonThatAcceptsButNeverAnswersIsPassedOver() throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + silent.getLocalPort();
			Truth.assertThat(run(new StatusCommand(), address, "--timeout", "1")).isEqualTo(ExitCode.OK.status());
		}
	}

	@Test
	void wrongKeyFails() throws Exception {
		Files.writeString(this.key, "wrong");
		Truth.assertThat(rules("show")).isEqualTo(ExitCode.FAILED.status());
		Truth.assertThat(text(this.err)).contains("UNAUTHORIZED");
	}

	@Test
	void statusSaysFirstWhatIsWrong() throws Exception {
		Truth.assertThat(run(new StatusCommand(), this.daemon.address())).isEqualTo(ExitCode.OK.status());
		Truth.assertThat(text(this.out)).startsWith("WARNING  entry-2 has not answered for 12 s.\n");
	}

	@Test
	void drainOfAnUnknownVmFails() throws Exception {
		Truth.assertThat(run(new DrainCommand(), this.daemon.address(), "entry-2")).isEqualTo(ExitCode.OK.status());
		Truth.assertThat(run(new DrainCommand(), this.daemon.address(), "nobody")).isEqualTo(ExitCode.FAILED.status());
		Truth.assertThat(text(this.out)).isEqualTo("entry-2: leaving\nnobody: unknown vm\n");
	}

	@Test
	void dumpFindsADaemonByTheNameOfItsVm() throws Exception {
		Truth.assertThat(run(new DumpCommand(), this.daemon.address(), "entry-2", "--json"))
			.isEqualTo(ExitCode.OK.status());
		Truth.assertThat(text(this.out)).isEqualTo("{\"membership\":{\"members\":3}}\n");
		Truth.assertThat(run(new DumpCommand(), this.daemon.address(), "nobody")).isEqualTo(ExitCode.FAILED.status());
	}

	private int rules(String... arguments) throws Exception {
		return run(new DocumentCommand(DocumentKind.RULES, Map.of()), this.daemon.address(), arguments);
	}

	private int run(Subcommand command, String address, String... arguments) throws Exception {
		List<String> all = new ArrayList<>(List.of(command.name()));
		all.addAll(List.of(arguments));
		all.addAll(List.of("--daemon", address, "--daemon", this.other.address(), "--operator-key-file",
				this.key.toString()));
		ArgumentParser parser = ArgumentParsers.newFor("test").build();
		command.configure(parser.addSubparsers().addParser(command.name()));
		Namespace namespace = parser.parseArgs(all.toArray(String[]::new));
		PrintStream errors = new PrintStream(this.err, true, StandardCharsets.UTF_8);
		try {
			return command.run(namespace, new PrintStream(this.out, true, StandardCharsets.UTF_8), errors);
		}
		catch (CommandException ex) {
			errors.println(ex.getMessage());
			return ex.exitCode().status();
		}
	}

	private static CompletableFuture<ApplyResult> conflict() {
		return CompletableFuture.completedFuture(new ApplyResult.Conflict(7, 9, "urgent: [theirs]\n", "urgent: []\n"));
	}

	private static String text(ByteArrayOutputStream bytes) {
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
