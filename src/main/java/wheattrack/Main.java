package wheattrack;

import java.io.BufferedOutputStream;
import java.io.FileOutputStream;
import java.io.FileDescriptor;
import java.io.IOException;
import wheattrack.drill.Drill;

/** The command line. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println(
                "usage: wheattrack drill   (decides for a simulator on standard input and output)");
            System.exit(2);
        }
        try (var out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16)) {
            new Drill(System.in, out).run();
        } catch (Drill.BadInput e) {
            System.err.println("wheattrack drill: " + e.getMessage());
            System.exit(2);
        }
    }
}
