package wheattrack.lab;

/** The lab's command line. */
public final class LabMain {
    private LabMain() {
    }

    public static void main(String[] args) {
        System.exit(2);
    }
}
