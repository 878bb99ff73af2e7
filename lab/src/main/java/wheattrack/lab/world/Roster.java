package wheattrack.lab.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheattrack.lab.load.Draws;
import wheattrack.lab.referee.Entry.State;

/** The list of the virtual world: it learns late, tells later, and can be down, stale or empty. */
final class Roster {
    /** One entry as told. */
    record News(int server, State state, long start) {
    }

    private static final long NO_ANSWER = 5_000;    // a call on a list that is down

    private final World world;
    private final Draws draws;
    private final Map<Integer, News> truth = new LinkedHashMap<>();
    private final Map<Node, Long> lastAt = new LinkedHashMap<>();
    private boolean down, stale, empty;

    Roster(World world) {
        this.world = world;
        draws = world.draws("list");
        world.machines().forEach(m -> truth.put(m.place, new News(m.place, State.READY, Node.LONG_AGO)));
    }

    /** A proxy asks for all changes from now on, and gets the whole list first. */
    void follows(Node node) {
        int life = node.life();
        if (down) {
            world.after(NO_ANSWER, () -> {
                if (node.life() == life) {
                    node.listFailed();
                }
            });
        } else {
            tell(node, null);
        }
    }

    void changes(int server, State state, long start) {
        News news = new News(server, state, start);
        if (state == State.GONE) {
            truth.remove(server);
        } else {
            truth.put(server, news);
        }
        if (!down && !stale && !empty) {
            lastAt.keySet().forEach(node -> tell(node, news));
        }
    }

    /** In the order of the changes; null: the whole list. */
    private void tell(Node node, News news) {
        int life = node.life();
        long way = Math.round(world.scenario.roster.delay() * (0.5 + draws.uniform()));
        long at = Math.max(world.now() + way, lastAt.getOrDefault(node, 0L));
        lastAt.put(node, at);
        world.after(at - world.now(), () -> {
            if (node.life() != life || down) {
                return;
            }
            if (news == null) {
                node.told(empty ? List.of() : new ArrayList<>(truth.values()), true);
            } else {
                node.told(List.of(news), false);
            }
        });
    }

    /** While it is down nothing is told; what it missed to say comes as a whole list after. */
    void down(boolean is) {
        down = is;
        if (is) {
            lastAt.keySet().forEach(Node::listBroke);
        }
    }

    void stale(boolean is) {
        stale = is;
        tellAll(!is);
    }

    void empty(boolean is) {
        empty = is;
        tellAll(true);
    }

    private void tellAll(boolean now) {
        if (now && !down) {
            lastAt.keySet().forEach(node -> tell(node, null));
        }
    }

    /** A process died: noticed after a while, unless it is back by then. */
    void noticesDeath(Machine machine) {
        int epoch = machine.epoch() + 1;
        world.after(world.scenario.roster.notice(), () -> {
            if (machine.epoch() == epoch && machine.state() != Machine.State.UP) {
                changes(machine.place, State.GONE, 0);
            }
        });
    }
}
