package wheattrack.lab.virtual;

import wheattrack.core.BackendIndex;

/** The idle connections of one proxy of the virtual run to one backend. */
final class VirtualConnections extends BackendIndex.Backend<Integer> {
  private int idleConnections;

  /** The incarnation of the backend to which the idle connections are open. */
  private int incarnation;

  VirtualConnections(Integer backend, int index) {
    super(backend, index);
  }

  int idleConnections() {
    return idleConnections;
  }

  int incarnation() {
    return incarnation;
  }

  /** Drops the idle connections if they are to another incarnation of the backend. */
  void dropBroken(int currentIncarnation) {
    if (incarnation != currentIncarnation) {
      incarnation = currentIncarnation;
      idleConnections = 0;
    }
  }

  /** Sets the incarnation of the backend to which a connection is being opened. */
  void connecting(int currentIncarnation) {
    incarnation = currentIncarnation;
  }

  /** Takes an idle connection; returns false if there is none. */
  boolean takeIdle() {
    if (idleConnections == 0) {
      return false;
    }
    idleConnections--;
    return true;
  }

  void returnIdle() {
    idleConnections++;
  }
}
