package wheattrack.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import wheattrack.lab.referee.Ledger;
import wheattrack.lab.referee.Referee;
import wheattrack.lab.referee.Verdict;
import wheattrack.lab.report.Lines;
import wheattrack.lab.report.Page;
import wheattrack.lab.scenario.Scenario;
import wheattrack.lab.world.Minds;
import wheattrack.lab.world.World;

/** Plays one scenario and says what came of it. */
final class Play {
    /** How to play it; out and jar may be null. */
    record Job(long seed, Path out, Minds.Policy policy, Path jar) {
        String policyWord() {
            return policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private Play() {
    }

    /** Plays it on the clock it names, prints the verdict and gives the exit code. */
    static int run(Scenario scenario, Job job) throws IOException {
        if (job.out() != null) {
            Files.createDirectories(job.out());
        }
        Verdict verdict = virtual(scenario, job);
        tell(verdict, job);
        return verdict.isGood() ? 0 : 1;
    }

    private static Verdict virtual(Scenario scenario, Job job) throws IOException {
        Referee referee = new Referee(scenario);
        if (job.out() == null) {
            new World(scenario, job.seed(), job.policy(), referee).run();
            return referee.verdict();
        }
        Path file = job.out().resolve("world.ledger");
        Files.deleteIfExists(file);
        try (Ledger.Out out = new Ledger.Out(file, false)) {
            new World(scenario, job.seed(), job.policy(), out).run();
        }
        Ledger.merge(List.of(file)).forEach(referee);
        return referee.verdict();
    }

    private static void tell(Verdict v, Job job) throws IOException {
        v.breaks().forEach(b -> System.out.printf(Locale.ROOT, "broken %8.3f s %s: %s%n", b.at() / 10_000.0,
            b.rule(), b.how()));
        v.shortfalls().forEach(e -> System.out.println("fell short: " + e.figure() + " "
            + (v.figures().containsKey(e.figure()) ? Verdict.text(v.figures().get(e.figure())) : "unknown")
            + ", expected " + e.sign() + " " + Verdict.text(e.bound())));
        if (job.out() != null) {
            Lines.write(job.out().resolve("result.jsonl"), v, job.seed(), job.policyWord());
            Page.write(job.out().resolve("report.html"), List.of(new Page.Run(job.policyWord(), v)));
        }
        System.out.println(v.result(job.seed()));
    }
}
