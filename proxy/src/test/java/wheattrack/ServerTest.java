package wheattrack;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import wheattrack.config.Config;
import wheattrack.config.Json;
import wheattrack.net.Server;

/** One proxy on loopback sockets between a client, a list and backends that the test plays. */
class ServerTest {
    private static final int BACKLOG = 100;
    private static final AtomicInteger IDS = new AtomicInteger();

    private final World w = new World();
    private final List<ServerSocket> doors = new ArrayList<>();
    /** What the backends do with the next requests, whichever gets them. */
    private final BlockingQueue<String> script = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private final AtomicInteger came = new AtomicInteger();
    /** The list's answers, a watch each: lines, and at last what becomes of the connection. */
    private final BlockingQueue<String> news = new LinkedBlockingQueue<>();
    private final AtomicInteger watches = new AtomicInteger();
    private Server server;
    private int port;
    private Thread running;

    @BeforeAll
    static void quiet() {
        Logger.getLogger("wheattrack").setLevel(Level.SEVERE);
    }

    private interface Talk {
        void with(Socket socket) throws Exception;
    }

    private ServerSocket open(Talk talk) throws IOException {
        ServerSocket door = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        doors.add(door);
        start(() -> {
            while (true) {
                Socket socket = door.accept();
                start(() -> talk.with(socket));
            }
        });
        return door;
    }

    private interface Work {
        void run() throws Exception;
    }

    private static Thread start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the other side has gone, or the test is over
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            head.write(c);
            if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return null;
    }

    private static int length(String head) {
        int at = head.toLowerCase().indexOf("content-length: ");
        return at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
    }

    private static void send(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void backend(String name, Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: ";
        String nothing = "Content-Length: 0\r\n\r\n";
        for (String head = head(in); head != null; head = head(in)) {
            in.readNBytes(length(head));
            came.incrementAndGet();
            String act = script.isEmpty() ? "ok" : script.take();
            switch (act) {
                case "ok" -> send(socket, answer + name.length() + "\r\n\r\n" + name);
                case "chunks" -> send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"
                    + name + "\r\n0\r\n\r\n");
                case "echo" -> {
                    String body = head.strip().replaceAll("out: [0-9.]+", "out: T").replace("\r\n", "|");
                    send(socket, "HTTP/1.1 200 OK\r\nX-Back: 3\r\nKeep-Alive: 9\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
                }
                case "slow" -> {
                    Thread.sleep(400);
                    send(socket, answer + "4\r\n\r\nslow");
                }
                case "full" -> send(socket, "HTTP/1.1 503 Full\r\nNot-Started: 1\r\n" + nothing);
                case "late" -> send(socket, "HTTP/1.1 504 Late\r\nNot-Started: 1\r\n" + nothing);
                case "half" -> send(socket, answer + "9\r\n\r\nhalf");
                case "unmeasured" -> send(socket, "HTTP/1.1 200 OK\r\n\r\nwhole or not?");
                case "garbage" -> send(socket, "SSH-2.0-OpenSSH\r\n\r\n");
                case "cut", "none" -> { }
                default -> send(socket, "HTTP/1.1 " + act + " X\r\n" + nothing);
            }
            if (List.of("cut", "half", "unmeasured", "garbage").contains(act)) {
                socket.close();
            }
        }
        seen.add("closed");
    }

    private void list(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        seen.add(head(in).split(" ")[1]);
        int mine = watches.incrementAndGet();
        send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (mine == watches.get()) {
            String line = news.poll(5, TimeUnit.MILLISECONDS);
            if ("end".equals(line)) {
                socket.close();
                return;
            } else if (line != null && line.startsWith("half ")) {
                send(socket, Integer.toHexString(line.length()) + "\r\n" + line.substring(5, 40));
                socket.close();
                return;
            } else if (line != null) {
                send(socket, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
            }
        }
    }

    private static String entry(String uid, String state, int port) {
        return "{'uid':'" + uid + "','endpoint':'127.0.0.1:" + port + "','az':'a','state':'" + state + "'}";
    }

    /** A backend of this name that listens, as an entry of the list. */
    private String ready(String name) throws IOException {
        return entry(name, "SERVING", open(socket -> backend(name, socket)).getLocalPort());
    }

    private static String told(int rev, boolean all, String... entries) {
        return ("{'rev':" + rev + ",'all':" + all + ",'targets':[" + String.join(",", entries) + "]}")
            .replace('\'', '"');
    }

    private void serve(int sockets, String known) throws Exception {
        server = new Server(new Config(Json.object(config(open(this::list).getLocalPort(), sockets, known))));
        port = server.port();
        running = start(server::run);
        while (!call("GET /ready HTTP/1.1\r\n\r\n").startsWith("200")) {
            Thread.sleep(10);
        }
    }

    private static String config(int list, int sockets, String known) {
        String set = "','clientTimeout':1500000,'responseTarget':1000000,'group':'all','window':5000000,"
            + "'effect':'";
        return ("{'listen':'127.0.0.1:0','discovery':'127.0.0.1:" + list + "','seed':'1','drain_ms':1000,"
            + "'limits':{'sockets':" + sockets + "},'known':" + known
            + ",'settings':{'balancers':2,'zones':['a'],"
            + "'limits':{'maxDispatches':3,'mayCancel':true,"
            + "'retryAfter':true,'maxRetryAfter':2000000,'dialTimeout':250000,'idleClose':30000000},"
            + "'rules':{'askEvery':1000000},'ruleSets':[{'name':'buy" + set + "read_like'},{'name':'mark"
            + set + "idempotency_key'},{'name':'pay" + set + "non_idempotent'}]}}").replace('\'', '"');
    }

    /** Backends on the list, and nothing else told. */
    private void serveBy(int backends) throws Exception {
        String[] entries = new String[backends];
        for (int i = 0; i < backends; i++) {
            entries[i] = ready("s" + i);
        }
        news.add(told(1, true, entries));
        serve(1024, "{}");
    }

    @AfterEach
    void end() throws Exception {
        server.end();
        for (ServerSocket door : doors) {
            door.close();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setSoTimeout(5000);
        return socket;
    }

    /** A first request is at a backend. */
    private void untilOneCame() throws InterruptedException {
        while (came.get() == 0) {
            Thread.sleep(5);
        }
    }

    private static String request(String set) {
        return "POST /" + set + " HTTP/1.1\r\nRequest-Id: " + IDS.incrementAndGet()
            + "\r\nRequest-Class: " + set + "\r\nWork-Hint: 5000\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** The answer: status, whether to come again later, the body, whether the connection ends. */
    private static String answer(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String head = head(in);
        if (head == null) {
            return "closed";
        }
        String body = new String(in.readNBytes(length(head)), StandardCharsets.ISO_8859_1).strip();
        return (head.substring(9, 12) + (head.contains("Retry-After: ") ? " wait" : "") + " " + body
            + (head.contains("Connection: close") ? " close" : "")).strip();
    }

    private String call(String text) throws IOException {
        try (Socket socket = connect()) {
            return call(socket, text);
        }
    }

    private static String call(Socket socket, String text) throws IOException {
        send(socket, text);
        return answer(socket);
    }

    /** Each outcome under each effect: what the client is told and how often it may have run. */
    @Test
    void outcomes() throws Exception {
        serveBy(8);
        for (String set : new String[] {"buy", "mark", "pay"}) {
            for (String acts : new String[] {"ok", "chunks", "500 ok", "full ok", "late ok", "503 ok",
                "404 ok", "cut ok", "half ok", "unmeasured ok", "garbage ok", "full 500 ok", "500 500 500"}) {
                script.addAll(List.of(acts.split(" ")));
                int before = came.get();
                String answer = call(request(set)).replaceAll("s\\d", "ok");
                w.say(set + " [" + acts + "] " + answer + ", sent " + (came.get() - before));
                script.clear();
            }
            Thread.sleep(1100);                     // then shut ones are tried again
            for (int i = 0; i < 100; i++) {
                call(request("buy"));
            }
        }
        w.matches("server-outcomes");
    }

    /** What goes on to a backend and back, and how long a silent one is waited for. */
    @Test
    void passesOn() throws Exception {
        serveBy(2);
        script.add("echo");
        w.say(call("PUT /buy/7?x=%20y HTTP/1.1\r\nHost: shop\r\nRequest-Id: 7\r\nRequest-Timeout: 0.300\r\n"
            + "Connection: X-Own\r\nX-Own: 1\r\nX-Other: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "2\r\nhi\r\n0\r\n\r\n"));
        script.add("none");
        long from = System.nanoTime();
        String answer = call(request("pay").replace("Work-Hint", "Request-Timeout: 1.000\r\nWork-Hint"));
        long took = (System.nanoTime() - from) / 1_000_000;
        boolean inTime = took > 700 && took <= 1000;
        w.say("silent: " + answer.replaceAll("50[24]", "502 or 504") + ", in time " + inTime + ", sent "
            + came.get());
        w.matches("server-passes-on");
    }

    /** Bad input of clients: a clear 4xx and the connection closed, and the next client is served. */
    @Test
    void badClients() throws Exception {
        serveBy(3);
        String post = "POST /buy HTTP/1.1\r\nRequest-Id: 7\r\n";
        for (String in : new String[] {"GET / HTTP/1.1\r\nRequest-Id: 7\r\n\r\n",
            "POST /buy HTTP/1.1\r\n\r\n",
            post + "Request-Class: sell\r\n\r\n", post + "Request-Timeout: soon\r\n\r\n",
            post + "Request-Timeout: -1\r\n\r\n", post + "Work-Hint: 1e9\r\n\r\n",
            post + "Content-Length: x\r\n\r\n",
            post + "Content-Length: 70000\r\n\r\n", post + "A: " + "1".repeat(20_000) + "\r\n\r\n",
            "\u0000\u0001\r\n\r\n",
            "HEAD /buy HTTP/1.1\r\n\r\n", post + "Request-Timeout: 0\r\n\r\n",
            post + "Work-Hint: 99999999999999999999\r\n\r\n"}) {
            try (Socket socket = connect()) {
                send(socket, in);
                String short70 = in.substring(0, Math.min(70, in.length())).replaceAll("[^ -~]+", "|");
                w.say(short70 + " -> " + answer(socket));
            }
        }
        try (Socket socket = connect()) {
            send(socket, post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
            w.say("expecting -> " + answer(socket));
            send(socket, "hi" + request("buy") + request("buy"));
            w.say("whole, and two more at once -> " + answer(socket).substring(0, 3) + " "
                + answer(socket).substring(0, 3) + " " + answer(socket).substring(0, 3));
        }
        w.matches("server-bad-clients");
    }

    /** Bad clients: the silent, the dripping and the half-said are turned away within 3 s of connecting. */
    @Test
    void badClientsInTime() throws Exception {
        serveBy(3);
        String half = "GET /buy HTTP/1.1\r\nRequest-Id: 9\r\n";
        long from = System.nanoTime();
        try (Socket silent = connect(); Socket drips = connect(); Socket halved = connect();
                Socket once = connect()) {
            w.say("asks once and stays: " + call(once, request("buy")).replaceAll("s\\d", "ok"));
            send(halved, half);
            for (int i = 0; i < 20; i++) {
                send(drips, "X");
                Thread.sleep(100);
            }
            w.say("silent " + answer(silent) + ", dripping " + answer(drips) + ", half-said "
                + answer(halved) + ", at rest " + answer(once) + ", in time "
                + (System.nanoTime() - from < 3_000_000_000L));
        }
        try (Socket slow = connect()) {
            w.say("usual: " + call(slow, request("buy")).replaceAll("s\\d", "ok"));
            Thread.sleep(1000);
            send(slow, half);
            Thread.sleep(1500);
            w.say("rests and writes slowly: " + call(slow, "\r\n").replaceAll("s\\d", "ok"));
        }
        w.matches("server-in-time");
    }

    /** Bad clients: a second copy of a req that is open reached the backends. */
    @Test
    void openId() throws Exception {
        serveBy(3);
        try (Socket first = connect()) {
            script.add("slow");
            String same = request("buy");
            send(first, same);
            untilOneCame();
            w.say("id open: " + call(same) + ", sent " + came);
            w.say("first: " + answer(first) + ", id free: " + call(same).replaceAll("s\\d", "ok"));
        }
        w.matches("server-open-id");
    }

    /** Incident to be: nothing more runs for a client that has left. */
    @Test
    void clientLeaves() throws Exception {
        serveBy(3);
        seen.clear();
        script.add("none");
        Socket socket = connect();
        send(socket, request("pay"));
        untilOneCame();
        socket.close();
        String ends = seen.poll(2000, TimeUnit.MILLISECONDS);
        w.say("client left, backend's connection " + ends + ", sent " + came.get());
        w.matches("server-client-leaves");
    }

    /** An end in order: what comes while draining is served, what is open answered, then nothing listens. */
    @Test
    void endsInOrder() throws Exception {
        serveBy(3);
        try (Socket slow = connect(); Socket idle = connect()) {
            script.add("slow");
            send(idle, "GET /ready HTTP/1.1\r\n\r\n");
            w.say("before: " + answer(idle));
            Thread ending = start(server::end);
            while (!call("GET /ready HTTP/1.1\r\n\r\n").startsWith("503")) {
                Thread.sleep(5);
            }
            send(slow, request("pay"));
            while (!script.isEmpty()) {
                Thread.sleep(5);
            }
            w.say("draining: " + call("GET /ready HTTP/1.1\r\n\r\n"));
            w.say("one more: " + call(request("buy")).replaceAll("s[012]", "ok"));
            w.say("open: " + answer(slow) + ", idle: " + answer(idle));
            ending.join(5000);
            w.say("ended: " + !running.isAlive());
            try (Socket late = connect()) {
                w.say("late: accepted " + late.isConnected());
            } catch (IOException e) {
                w.say("late: " + e.getMessage());
            }
        }
        w.matches("server-ends");
    }

    /** The list: an old one at the start, bad entries and lines, a srv that drains, moves and goes. */
    @Test
    void followsTheList() throws Exception {
        int[] at = new int[3];
        for (int i = 0; i < 3; i++) {
            String name = "s" + i;
            at[i] = open(socket -> backend(name, socket)).getLocalPort();
        }
        int shut = open(socket -> { }).getLocalPort();
        doors.get(doors.size() - 1).close();
        news.add(told(4, false));
        serve(1024, told(3, true, entry("s0", "SERVING", at[0]), entry("s9", "SERVING", shut)));
        w.say("known of old: " + who());
        step(told(5, false, entry("s1", "SERVING", at[1]), "{'uid':'s7'}", entry("s8", "ASLEEP", 1),
            "{'uid':'s6','endpoint':'localhost:1','state':'SERVING'}", "{'uid':6}"));
        step(told(6, false, entry("s0", "DRAINING", at[0])));
        step("no json");
        step(told(7, false, entry("s1", "SERVING", at[2])));
        step("[]");
        step(told(8, true, entry("s0", "SERVING", at[0])));
        step(told(9, false, entry("s0", "DELETED", at[0])));
        news.add("end");
        step(told(10, true, entry("s1", "SERVING", at[1])));
        Thread.sleep(3300);                         // no line comes: the watch counts as broken
        seen.removeIf("closed"::equals);
        w.say("asked " + seen);
        w.matches("server-list");
    }

    /**
     * A large fleet's list in trouble: changes of an old revision, and a whole list of one, bring no drained
     * srv back; of repeated entries the last counts; 40 broken ones of 60 are one line; cut off amid a line,
     * or refused, the last good list is kept.
     */
    @Test
    void listInTrouble() throws Exception {
        String[] s = {ready("s0"), ready("s1")};
        String drains = s[0].replace("SERVING", "DRAINING");
        Logger log = Logger.getLogger("wheattrack");
        Handler ear = ear();
        log.addHandler(ear);
        log.setLevel(Level.WARNING);
        try {
            news.add(told(5, true, s));
            serve(1024, "{}");
            step(told(6, false, drains));
            step(told(4, false, s[0]));
            news.add("end");
            step(told(3, true, s));
            step(told(7, false, s[0]));
            step(told(8, true, s[0], s[1], drains));
            String[] many = new String[60];
            for (int i = 0; i < 60; i++) {
                many[i] = i % 3 == 0 ? s[i % 2] : "{'uid':'b" + i + "','state':'SERVING'}";
            }
            news.add(told(9, true, many));
            Thread.sleep(300);
            w.say("60 entries, 40 broken: " + who());
            news.add("half " + told(10, true, s[0]));
            Thread.sleep(600);
            w.say("cut off: " + who());
            doors.get(doors.size() - 1).close();    // the list's
            news.add("end");
            Thread.sleep(1000);
            w.say("refuses: " + who());
        } finally {
            log.removeHandler(ear);
            log.setLevel(Level.SEVERE);
        }
        w.matches("server-list-trouble");
    }

    /** Day of new configurations: SIGHUP ended the process. What is open and learnt stays; a bad file too. */
    @Test
    void rereads() throws Exception {
        serveBy(2);
        Path file = Files.createTempFile("wheattrack", ".json");
        Signals.onHangup(() -> server.reread(file));
        Logger log = Logger.getLogger("wheattrack");
        Handler ear = ear();
        log.addHandler(ear);
        log.setLevel(Level.INFO);
        try (Socket slow = connect()) {
            script.add("slow");
            send(slow, request("pay"));
            untilOneCame();
            int second = open(socket -> {
                seen.add("second list");
                list(socket);
            }).getLocalPort();
            String s2 = ready("s2");
            for (String text : new String[] {config(second, 512, "{}"), "{'discovery'", "",
                config(second, 1024, "{}").replace("127.0.0.1:" + second, "list:1"),
                config(second, 1024, "{}").replace("read_like", "any")}) {
                Files.writeString(file, text);
                new ProcessBuilder("kill", "-HUP", "" + ProcessHandle.current().pid()).start().waitFor();
                Thread.sleep(200);
            }
            w.say("open meanwhile: " + answer(slow));
            news.add(told(1, true, s2));
            Thread.sleep(200);
            seen.removeIf("closed"::equals);
            w.say("asked " + seen + ", now " + who());
        } finally {
            log.removeHandler(ear);
            log.setLevel(Level.SEVERE);
            Files.delete(file);
        }
        w.matches("server-rereads");
    }

    private Handler ear() {
        return new Handler() {
            @Override
            public void publish(LogRecord line) {
                w.say("log: " + line.getMessage().replaceAll("127.0.0.1:\\d+", "PORT")
                    .replaceAll("/\\S*/wheattrack\\d+", "FILE"));
            }

            @Override
            public void flush() {
                // nothing is held back
            }

            @Override
            public void close() {
                // nothing is open
            }
        };
    }

    private void step(String line) throws Exception {
        news.add(line);
        Thread.sleep(300);
        w.say(line.replaceAll("127.0.0.1:\\d+", "PORT") + "\n  " + who());
    }

    /** Which backends serve ten calls. */
    private String who() throws IOException {
        var names = new java.util.TreeSet<String>();
        for (int i = 0; i < 10; i++) {
            names.add(call(request("buy")));
        }
        return names.toString();
    }

    /** Few descriptors: idle connections give way, and who comes beyond is denied at once. */
    @Test
    void fewSockets() throws Exception {
        news.add(told(1, true, ready("s0")));
        serve(64, "{}");
        List<Socket> open = new ArrayList<>();
        Socket usual = connect();
        w.say("usual: " + call(usual, request("buy")));
        for (int i = 0; i < 27; i++) {
            open.add(connect());
            Thread.sleep(i == 14 ? 300 : 0);
        }
        w.say("beside 27 that say nothing: " + call(request("buy")) + ", usual: "
            + call(usual, request("buy")));
        usual.close();
        int[] answers = new int[2];
        for (int i = 0; i < 30; i++) {
            script.add("slow");
            open.add(connect());
            send(open.get(27 + i), request("buy"));
        }
        for (Socket socket : open.subList(27, 57)) {
            answers[answer(socket).startsWith("200") ? 0 : 1]++;
        }
        script.clear();
        w.say("of 30 at once all answered, some denied: " + (answers[0] > 0 && answers[1] > 0));
        for (Socket socket : open) {
            socket.close();
        }
        w.say("after: " + call(request("buy")));
        w.matches("server-few-sockets");
    }
}
